// Package refuse defines typed refusals of calls: the reason, and whether the call ran.
package refuse
