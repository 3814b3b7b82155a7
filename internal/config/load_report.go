package config

import (
	"strings"

	"woaddyke/internal/workers/loadreport"
)

// ReportFormatOf returns the form of the load reports of a deployment with these settings. What its extra
// fields x0 and x1 mean is a setting of its own.
func ReportFormatOf(settings map[string]any) loadreport.Format {
	var fields []loadreport.Field
	for _, name := range StringList(settings, KeyReportFields) {
		meaning := name
		if name == "x0" || name == "x1" {
			meaning, _ = settings[keyExtraReportField+strings.ToUpper(name)].(string)
		}
		fields = append(fields, loadreport.Field{Name: name, Meaning: meaning})
	}
	return loadreport.NewFormat(fields)
}
