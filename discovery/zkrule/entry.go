// Package zkrule derives workers from the nodes of a ZooKeeper-style service: it determines which
// nodes to read, parses their data, and decides whether a recreated node belongs to the same
// incarnation of its worker. It does no I/O.
package zkrule

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strconv"
	"time"

	"lichenshelf/discovery/membership"
)

// Format is the format of a node's data.
type Format string

// The supported formats.
const (
	// JSON is the format of this project: {"addr":"host:port"} with the optional fields cell,
	// weight, draining and started_at_ms. The name of the node is the name of the worker.
	JSON Format = "json"
	// Serverset is the format of the serversets of Twitter and Finagle, with serviceEndpoint and
	// status. The address identifies the worker.
	Serverset Format = "serverset"
	// Curator is the format of Apache Curator's service discovery. The id is the name of the
	// worker.
	Curator Format = "curator"
)

// Known reports whether f is a supported format.
func (f Format) Known() bool { return f == JSON || f == Serverset || f == Curator }

// Parse parses the data of a node. Fields that the data omits are taken from the template; Since is
// 0 if the data has no start time.
func (f Format) Parse(node string, data []byte, template membership.Entry) (membership.Entry, error) {
	e := template
	var err error
	switch f {
	case JSON:
		err = parseJSON(&e, node, data)
	case Serverset:
		err = parseServerset(&e, data)
	case Curator:
		err = parseCurator(&e, node, data)
	default:
		err = fmt.Errorf("unknown format %q", f)
	}
	if err != nil {
		return e, err
	}
	return e, e.Check()
}

func decode(data []byte, into any) error {
	if len(data) == 0 {
		return errors.New("node data is empty")
	}
	if err := json.Unmarshal(data, into); err != nil {
		return fmt.Errorf("node data is not the JSON expected: %w", err)
	}
	return nil
}

// Registration is the data in the JSON format. Workers write it to ZooKeeper-style services and to
// the store.
type Registration struct {
	Addr     string  `json:"addr"`
	Cell     int     `json:"cell"`
	Weight   float64 `json:"weight,omitempty"`
	Draining bool    `json:"draining"` // finishes its open requests and accepts no new ones
	// StartedAtMs is the last start of the worker in Unix milliseconds; 0: unknown.
	StartedAtMs int64 `json:"started_at_ms"`
}

func parseJSON(e *membership.Entry, node string, data []byte) error {
	v := Registration{Cell: e.Cell, Weight: e.Weight} // defaults for omitted fields
	if err := decode(data, &v); err != nil {
		return err
	}
	e.Name, e.Addr, e.Cell, e.Weight, e.Since = node, v.Addr, v.Cell, v.Weight, nanos(v.StartedAtMs)
	if v.Draining {
		e.Status = membership.Draining
	}
	return nil
}

func parseServerset(e *membership.Entry, data []byte) error {
	v := struct {
		Endpoint *endpoint `json:"serviceEndpoint"`
		Status   string    `json:"status"`
	}{}
	if err := decode(data, &v); err != nil {
		return err
	}
	if v.Endpoint == nil {
		return errors.New("serviceEndpoint is missing")
	}
	switch v.Status {
	case "ALIVE":
	case "STARTING", "WARMING", "STOPPING", "STOPPED", "DEAD":
		e.Status = membership.Draining // in these states the worker accepts no new requests
	default:
		return fmt.Errorf("unknown serverset status %q", v.Status)
	}
	var err error
	e.Name = ""
	e.Addr, err = v.Endpoint.addr()
	return err
}

type endpoint struct {
	Host string `json:"host"`
	Port int    `json:"port"`
}

func (p endpoint) addr() (string, error) {
	if p.Host == "" || p.Port < 1 || p.Port > 65535 {
		return "", fmt.Errorf("endpoint %q port %d is no address", p.Host, p.Port)
	}
	return net.JoinHostPort(p.Host, strconv.Itoa(p.Port)), nil
}

func parseCurator(e *membership.Entry, node string, data []byte) error {
	v := struct {
		ID      string `json:"id"`
		Address string `json:"address"`
		Port    *int   `json:"port"`
		Enabled *bool  `json:"enabled"`
		Time    int64  `json:"registrationTimeUTC"`
	}{}
	if err := decode(data, &v); err != nil {
		return err
	}
	if v.ID != node {
		return fmt.Errorf("id %q differs from the node name %q", v.ID, node)
	}
	if v.Port == nil {
		return errors.New("port is missing")
	}
	if v.Enabled != nil && !*v.Enabled {
		e.Status = membership.Draining
	}
	var err error
	e.Name, e.Since = v.ID, nanos(v.Time)
	e.Addr, err = endpoint{v.Address, *v.Port}.addr()
	return err
}

func nanos(ms int64) int64 { return ms * int64(time.Millisecond) }
