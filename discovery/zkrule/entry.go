// Package zkrule decides what the nodes of a ZooKeeper-style service say of
// workers: which nodes to read, what their data means, which incarnation a node
// that was made again is of. It does no I/O.
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

// Format is the form of a node's data.
type Format string

// The forms of data.
const (
	// JSON is our own: {"addr":"host:port"} with cell, weight, draining and
	// started_at_ms. The node's name is the worker's.
	JSON Format = "json"
	// Serverset is that of Twitter's and Finagle's serversets: serviceEndpoint and
	// status. The address is the worker's identity.
	Serverset Format = "serverset"
	// Curator is that of Apache Curator's service discovery. Its id names the worker.
	Curator Format = "curator"
)

// Known tells whether there is such a form.
func (f Format) Known() bool { return f == JSON || f == Serverset || f == Curator }

// Parse reads a node's data. What it does not tell comes from the template; the
// start is 0 if it tells none.
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
		err = fmt.Errorf("unknown form %q", f)
	}
	if err != nil {
		return e, err
	}
	return e, e.Check()
}

func decode(data []byte, into any) error {
	if len(data) == 0 {
		return errors.New("the node is empty")
	}
	if err := json.Unmarshal(data, into); err != nil {
		return fmt.Errorf("not the JSON expected: %w", err)
	}
	return nil
}

// Registration is the data of our own form, as workers write it, to ZooKeeper-style
// services and to the store alike.
type Registration struct {
	Addr     string  `json:"addr"`
	Cell     int     `json:"cell"`
	Weight   float64 `json:"weight,omitempty"`
	Draining bool    `json:"draining"` // finishes what it has, gets nothing new
	// StartedAtMs is when it last started, in Unix milliseconds; 0: not known.
	StartedAtMs int64 `json:"started_at_ms"`
}

func parseJSON(e *membership.Entry, node string, data []byte) error {
	v := Registration{Cell: e.Cell, Weight: e.Weight} // which stay where nothing is said
	if err := decode(data, &v); err != nil {
		return err
	}
	e.Name, e.Addr, e.Cell, e.Weight, e.Since = node, v.Addr, v.Cell, v.Weight, nanos(v.StartedAtMs)
	if v.Draining {
		e.Word = membership.Draining
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
		e.Word = membership.Draining // it says itself that it takes nothing new
	default:
		return fmt.Errorf("status %q is none of a serverset's", v.Status)
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
		return fmt.Errorf("id %q is not the node's name %q", v.ID, node)
	}
	if v.Port == nil {
		return errors.New("port is missing")
	}
	if v.Enabled != nil && !*v.Enabled {
		e.Word = membership.Draining
	}
	var err error
	e.Name, e.Since = v.ID, nanos(v.Time)
	e.Addr, err = endpoint{v.Address, *v.Port}.addr()
	return err
}

func nanos(ms int64) int64 { return ms * int64(time.Millisecond) }
