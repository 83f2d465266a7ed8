package standin

import (
	"encoding/json"
	"maps"
	"net/http"
	"sort"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"
)

// service is a registered VM.
type service struct {
	ID      string
	Name    string
	Address string
	Port    int
	Tags    []string
	Meta    map[string]string
	index   int64
}

// listVersion is a version of the VM list and the time from which it applies.
type listVersion struct {
	since    time.Time
	services map[string]service
	index    int64
}

// catalogRow is the protocol's form of a registered VM.
type catalogRow struct {
	ID             string
	Node           string
	Address        string
	Datacenter     string
	ServiceID      string
	ServiceName    string
	ServiceAddress string
	ServicePort    int
	ServiceTags    []string
	ServiceMeta    map[string]string
	ModifyIndex    int64
}

func (s *Server) register(w http.ResponseWriter, r *http.Request) {
	body, ok := readBody(w, r, maxControlBytes)
	if !ok {
		return
	}
	var svc service
	if err := json.Unmarshal(body, &svc); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if svc.Name == "" {
		http.Error(w, "missing service name", http.StatusBadRequest)
		return
	}
	if svc.ID == "" {
		svc.ID = svc.Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	svc.index = s.nextIndex()
	s.services[svc.ID] = svc
	s.recordListVersion()
}

func (s *Server) deregister(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := chi.URLParam(r, "id")
	if _, ok := s.services[id]; !ok {
		http.Error(w, "unknown service id "+strconv.Quote(id), http.StatusNotFound)
		return
	}
	delete(s.services, id)
	s.nextIndex()
	s.recordListVersion()
}

// recordListVersion records the current list and drops versions that were
// replaced more than maxListLag ago. The caller holds mu.
func (s *Server) recordListVersion() {
	now := time.Now()
	s.listVersions = append(s.listVersions, listVersion{since: now, services: maps.Clone(s.services), index: s.index})
	for len(s.listVersions) > 1 && now.Sub(s.listVersions[1].since) > maxListLag {
		s.listVersions = s.listVersions[1:]
	}
}

func (s *Server) listServices(w http.ResponseWriter, r *http.Request) {
	name := chi.URLParam(r, "name")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropIfDown()
	version := s.laggedList()
	rows := []catalogRow{}
	for _, svc := range version.services {
		if svc.Name == name {
			rows = append(rows, svc.row())
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].ServiceID < rows[j].ServiceID })
	w.Header().Set(indexHeader, strconv.FormatInt(max(version.index, 1), 10))
	writeJSON(w, rows)
}

// laggedList returns the list as it was ListLag ago. The caller holds mu.
func (s *Server) laggedList() listVersion {
	at := time.Now().Add(-s.faults.ListLag)
	for i := len(s.listVersions) - 1; i >= 0; i-- {
		if !s.listVersions[i].since.After(at) {
			return s.listVersions[i]
		}
	}
	return listVersion{}
}

func (svc service) row() catalogRow {
	return catalogRow{
		ID: svc.ID, Node: svc.ID, Address: svc.Address, Datacenter: "dc1",
		ServiceID: svc.ID, ServiceName: svc.Name, ServiceAddress: svc.Address, ServicePort: svc.Port,
		ServiceTags: svc.Tags, ServiceMeta: svc.Meta, ModifyIndex: svc.index,
	}
}
