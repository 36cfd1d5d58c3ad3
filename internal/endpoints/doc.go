// Package endpoints maintains the list of workers and their addresses, and watches discovery for changes to it.
package endpoints
