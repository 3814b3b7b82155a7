package config

import (
	"strings"

	"woaddyke/internal/workers/loadreport"
)

// ReportFormatOf returns the format of the load reports in a deployment with these settings. Two further
// settings define the meaning of the extra fields x0 and x1.
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
