// Package figure stores measurements in CSV files and draws plots of them.
package figure
