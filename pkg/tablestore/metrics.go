package tablestore

import "github.com/prometheus/client_golang/prometheus"

// RegisterMetrics registers the metrics of the table.
func (s *Store) RegisterMetrics(reg prometheus.Registerer) {
	reg.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "acaciaglade_table_version",
			Help: "Version of the table in force at this entry, 0 for none.",
		}, func() float64 { return float64(s.Marks().Version) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "acaciaglade_provisional_marks",
			Help: "Marks in force that are not yet in the table.",
		}, func() float64 { return float64(len(s.Marks().Provisional)) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "acaciaglade_store_answers",
			Help: "1 while the platform's store answers this entry, 0 otherwise.",
		}, s.storeAvailable),
	)
}

// storeAvailable returns 1 if the latest call of the platform's store succeeded, else 0.
func (s *Store) storeAvailable() float64 {
	status := s.PlatformStatus()
	if status.Err != nil || status.RespondedAt.IsZero() {
		return 0
	}
	return 1
}
