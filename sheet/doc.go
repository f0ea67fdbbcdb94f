// Package sheet reads and writes the sheet, a CSV file that contains a whole agreement.
package sheet
