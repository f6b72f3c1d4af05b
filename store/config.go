package store

import (
	"fmt"
	"net"
	"strings"

	"lichenshelf/conffile"
)

// LoadConfig reads a replica's file. Without an id the store is disabled.
func LoadConfig(path string) (*Config, error) {
	var c Config
	file, err := conffile.Read(path, &c)
	if err != nil {
		return nil, err
	}
	for i, addr := range c.Follow {
		if _, _, err := net.SplitHostPort(addr); err != nil {
			return nil, file.ValueError(fmt.Sprintf("follow.%d", i), addr, err.Error())
		}
	}
	switch {
	case len(c.Follow) > 0 && c.ID != "":
		return nil, file.ValueError("follow", c.Follow, "this router runs its own replica, "+c.ID+", and follows that one")
	case len(c.Follow) > 0 && (c.Name == "" || strings.Contains(c.Name, "/")):
		return nil, file.ValueError("name", c.Name, "a router that follows replicas needs a name without /, unique among all routers")
	case c.ID == "":
		return &c, nil
	}
	if _, err := c.self(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if c.ZooKeeper != "" {
		if _, _, err := net.SplitHostPort(c.ZooKeeper); err != nil {
			return nil, file.ValueError("zookeeper", c.ZooKeeper, err.Error())
		}
	}
	return &c, nil
}

// Self returns this replica's entry among the peers.
func (c *Config) Self() Peer {
	p, _ := c.self()
	return p
}
