package store

import (
	"fmt"

	"github.com/BurntSushi/toml"
)

// LoadConfig reads a replica's file. Without an id the store is off.
func LoadConfig(path string) (*Config, error) {
	var c Config
	meta, err := toml.DecodeFile(path, &c)
	if err != nil {
		return nil, fmt.Errorf("read %s: %w", path, err)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return nil, fmt.Errorf("%s: unknown key %s", path, unknown[0])
	}
	if c.ID == "" {
		return &c, nil
	}
	if _, err := c.self(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return &c, nil
}

// Self is this replica among the peers.
func (c *Config) Self() Peer {
	p, _ := c.self()
	return p
}
