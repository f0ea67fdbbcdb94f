// Package client implements the commands of the operators' client, most of them in a file of their own.
package client
