package store

import (
	"fmt"
	"net"

	"lichenshelf/conffile"
)

// LoadConfig reads a replica's file. Without an id the store is off.
func LoadConfig(path string) (*Config, error) {
	var c Config
	file, err := conffile.Read(path, &c)
	if err != nil {
		return nil, err
	}
	if c.ID == "" {
		return &c, nil
	}
	if _, err := c.self(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if c.ZooKeeper != "" {
		if _, _, err := net.SplitHostPort(c.ZooKeeper); err != nil {
			return nil, file.Bad("zookeeper", c.ZooKeeper, err.Error())
		}
	}
	return &c, nil
}

// Self is this replica among the peers.
func (c *Config) Self() Peer {
	p, _ := c.self()
	return p
}
