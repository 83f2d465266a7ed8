// Package operatorapi serves OperatorService: changes and queries of the
// configuration, the progress of rollouts, the audit trail and the list of VMs.
package operatorapi

import (
	"context"
	"io"
	"net/http"
	"runtime/debug"
	"strconv"
	"time"

	"connectrpc.com/connect"
	"github.com/charmbracelet/log"

	"github.com/briarstand/briarstand/config"
	"github.com/briarstand/briarstand/config/command"
	"github.com/briarstand/briarstand/config/query"
	briarstandv1 "github.com/briarstand/briarstand/gen/briarstand/v1"
	"github.com/briarstand/briarstand/gen/briarstand/v1/briarstandv1connect"
)

// Defaults of Config.
const (
	DefaultAcceptWait = 5 * time.Second
	// DefaultChangeTimeout leaves time for several calls to the key-value
	// service after a write conflict or a lost reply.
	DefaultChangeTimeout = 10 * time.Second
	// DefaultMaxRequestBytes leaves room for the declaration of a service whose
	// stored document has the maximum size, config.MaxDocumentBytes.
	DefaultMaxRequestBytes  = 2 << 20
	DefaultMaxResponseBytes = 64 << 20
	DefaultMaxConcurrent    = 64
	// statusTimeout limits the time to read a rollout's progress after a change.
	// A round, in which the coordinator of the rollout collects the confirmations
	// of the VMs, takes up to 3 s when a VM does not answer.
	statusTimeout = 4 * time.Second
)

// Rollouts starts rollouts of recorded changes and reports their progress. A
// change is recorded when the store has it, and accepted when every VM that the
// rollout requires has it in force.
type Rollouts interface {
	// StartRollout starts the rollout of a change that this VM wrote.
	StartRollout(svc *config.Service)
	// Status returns the progress of the rollout of a revision.
	Status(ctx context.Context, service string, revision int64) (*briarstandv1.Rollout, error)
	// Wait returns when the revision is accepted, or fails when ctx ends.
	Wait(ctx context.Context, service string, revision int64) (*briarstandv1.Rollout, error)
}

// VMs lists the VMs in this VM's member table.
type VMs interface {
	ListVMs(ctx context.Context) ([]*briarstandv1.VM, error)
}

// Config holds the dependencies and settings of the handler.
type Config struct {
	ConfigWriter *command.Writer
	ConfigReader *query.Reader
	Rollouts     Rollouts
	VMs          VMs
	// AcceptWait is how long the response to a change waits for its acceptance.
	// 0 means DefaultAcceptWait.
	AcceptWait time.Duration
	// ChangeTimeout limits the time to write a change, before AcceptWait starts.
	// 0 means DefaultChangeTimeout.
	ChangeTimeout time.Duration
	// MaxRequestBytes and MaxResponseBytes limit the size of messages; 0 means
	// the default.
	MaxRequestBytes  int
	MaxResponseBytes int
	// MaxConcurrent limits the number of concurrent requests; 0 means the
	// default.
	MaxConcurrent int
	// Logger receives a line for each change and each failed request; nil
	// discards them.
	Logger *log.Logger
}

func (c *Config) setDefaults() {
	if c.AcceptWait <= 0 {
		c.AcceptWait = DefaultAcceptWait
	}
	if c.ChangeTimeout <= 0 {
		c.ChangeTimeout = DefaultChangeTimeout
	}
	if c.MaxRequestBytes <= 0 {
		c.MaxRequestBytes = DefaultMaxRequestBytes
	}
	if c.MaxResponseBytes <= 0 {
		c.MaxResponseBytes = DefaultMaxResponseBytes
	}
	if c.MaxConcurrent <= 0 {
		c.MaxConcurrent = DefaultMaxConcurrent
	}
	if c.Logger == nil {
		c.Logger = log.New(io.Discard)
	}
}

// handler implements briarstandv1connect.OperatorServiceHandler.
type handler struct {
	cfg   Config
	slots chan struct{}
}

var _ briarstandv1connect.OperatorServiceHandler = (*handler)(nil)

// New returns the path prefix and the handler of OperatorService, which serves
// Connect, gRPC and HTTP with JSON.
func New(cfg Config) (string, http.Handler) {
	cfg.setDefaults()
	h := &handler{cfg: cfg, slots: make(chan struct{}, cfg.MaxConcurrent)}
	return briarstandv1connect.NewOperatorServiceHandler(h,
		connect.WithReadMaxBytes(cfg.MaxRequestBytes),
		connect.WithSendMaxBytes(cfg.MaxResponseBytes),
		connect.WithRecover(h.handlePanic),
		connect.WithInterceptors(connect.UnaryInterceptorFunc(h.intercept)),
	)
}

// intercept limits the concurrent requests and maps errors to Connect codes.
func (h *handler) intercept(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
		select {
		case h.slots <- struct{}{}:
			defer func() { <-h.slots }()
		default:
			return nil, connectError(&BusyError{Limit: h.cfg.MaxConcurrent})
		}
		resp, err := next(ctx, req)
		if err != nil {
			mapped := connectError(err)
			h.cfg.Logger.Warn("operator request failed", "procedure", req.Spec().Procedure, "code", mapped.Code(), "err", err)
			return nil, mapped
		}
		return resp, nil
	}
}

// handlePanic converts a panic in a request handler to an error, so that the
// daemon keeps running.
func (h *handler) handlePanic(_ context.Context, spec connect.Spec, _ http.Header, p any) error {
	h.cfg.Logger.Error("operator request panicked", "procedure", spec.Procedure, "panic", p, "stack", string(debug.Stack()))
	return connect.NewError(connect.CodeInternal, &PanicError{Procedure: spec.Procedure})
}

// CreateService adds a service.
func (h *handler) CreateService(ctx context.Context, req *connect.Request[briarstandv1.CreateServiceRequest]) (*connect.Response[briarstandv1.ChangeResponse], error) {
	svc, err := serviceFromSpec(req.Msg.GetName(), req.Msg.GetSpec())
	if err != nil {
		return nil, err
	}
	return h.change(ctx, req.Msg.GetChange(), func(ctx context.Context, ch command.Change) (*config.Service, error) {
		return h.cfg.ConfigWriter.Create(ctx, svc, ch)
	})
}

// UpdateService replaces the declaration of a service.
func (h *handler) UpdateService(ctx context.Context, req *connect.Request[briarstandv1.UpdateServiceRequest]) (*connect.Response[briarstandv1.ChangeResponse], error) {
	svc, err := serviceFromSpec(req.Msg.GetName(), req.Msg.GetSpec())
	if err != nil {
		return nil, err
	}
	return h.change(ctx, req.Msg.GetChange(), func(ctx context.Context, ch command.Change) (*config.Service, error) {
		return h.cfg.ConfigWriter.Update(ctx, svc, ch)
	})
}

// DeleteService deletes a service.
func (h *handler) DeleteService(ctx context.Context, req *connect.Request[briarstandv1.DeleteServiceRequest]) (*connect.Response[briarstandv1.ChangeResponse], error) {
	return h.change(ctx, req.Msg.GetChange(), func(ctx context.Context, ch command.Change) (*config.Service, error) {
		return h.cfg.ConfigWriter.Delete(ctx, req.Msg.GetName(), ch)
	})
}

// DrainBackend stops new sub-requests to a backend server.
func (h *handler) DrainBackend(ctx context.Context, req *connect.Request[briarstandv1.DrainBackendRequest]) (*connect.Response[briarstandv1.ChangeResponse], error) {
	return h.change(ctx, req.Msg.GetChange(), func(ctx context.Context, ch command.Change) (*config.Service, error) {
		return h.cfg.ConfigWriter.Drain(ctx, req.Msg.GetService(), req.Msg.GetBackendId(), ch)
	})
}

// RestoreBackend resumes sub-requests to a drained backend server.
func (h *handler) RestoreBackend(ctx context.Context, req *connect.Request[briarstandv1.RestoreBackendRequest]) (*connect.Response[briarstandv1.ChangeResponse], error) {
	return h.change(ctx, req.Msg.GetChange(), func(ctx context.Context, ch command.Change) (*config.Service, error) {
		return h.cfg.ConfigWriter.Restore(ctx, req.Msg.GetService(), req.Msg.GetBackendId(), ch)
	})
}

// serviceFromSpec converts a declaration. A missing spec is refused, because it
// would remove all backend servers and index versions of the service.
func serviceFromSpec(name string, spec *briarstandv1.ServiceSpec) (*config.Service, error) {
	if spec == nil {
		return nil, &MissingFieldError{Field: "spec"}
	}
	return config.FromProto(&briarstandv1.Service{Name: name, Spec: spec})
}

// change writes a change with run, starts its rollout and waits up to AcceptWait
// for its acceptance.
func (h *handler) change(ctx context.Context, ch *briarstandv1.Change, run func(context.Context, command.Change) (*config.Service, error)) (*connect.Response[briarstandv1.ChangeResponse], error) {
	if ch == nil {
		return nil, &MissingFieldError{Field: "change"}
	}
	changeCtx, cancel := context.WithTimeout(ctx, h.cfg.ChangeTimeout)
	defer cancel()
	svc, err := run(changeCtx, command.Change{
		ID: ch.GetChangeId(), Operator: ch.GetOperator(), Reason: ch.GetReason(), ExpectedRevision: ch.GetExpectedRevision(),
	})
	if err != nil {
		return nil, err
	}
	h.cfg.Logger.Info("change recorded", "service", svc.Name, "revision", svc.Revision,
		"change_id", svc.ChangeID, "operator", ch.GetOperator())
	h.cfg.Rollouts.StartRollout(svc)
	return connect.NewResponse(&briarstandv1.ChangeResponse{
		Service: config.ToProto(svc), Rollout: h.waitAccepted(ctx, svc),
	}), nil
}

// waitAccepted waits for the acceptance of a change and returns the state of its
// rollout. It returns no error, because the change has already taken effect in the
// store. If the state cannot be read, it returns RECORDED.
func (h *handler) waitAccepted(ctx context.Context, svc *config.Service) *briarstandv1.Rollout {
	waitCtx, cancel := context.WithTimeout(ctx, h.cfg.AcceptWait)
	defer cancel()
	rollout, err := h.cfg.Rollouts.Wait(waitCtx, svc.Name, svc.Revision)
	if err == nil && rollout != nil {
		return rollout
	}
	statusCtx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	rollout, err = h.cfg.Rollouts.Status(statusCtx, svc.Name, svc.Revision)
	if err == nil && rollout != nil {
		return rollout
	}
	h.cfg.Logger.Warn("cannot read the progress of the rollout", "service", svc.Name, "revision", svc.Revision, "err", err)
	return &briarstandv1.Rollout{
		Service: svc.Name, Revision: svc.Revision, State: briarstandv1.RolloutState_ROLLOUT_STATE_RECORDED,
	}
}

// GetService returns a service as recorded in the store.
func (h *handler) GetService(ctx context.Context, req *connect.Request[briarstandv1.GetServiceRequest]) (*connect.Response[briarstandv1.GetServiceResponse], error) {
	svc, err := h.cfg.ConfigReader.Get(ctx, req.Msg.GetName())
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&briarstandv1.GetServiceResponse{Service: config.ToProto(svc)}), nil
}

// ListServices returns all services as recorded in the store. Corrupt documents
// are logged and omitted.
func (h *handler) ListServices(ctx context.Context, _ *connect.Request[briarstandv1.ListServicesRequest]) (*connect.Response[briarstandv1.ListServicesResponse], error) {
	services, corrupt, err := h.cfg.ConfigReader.List(ctx)
	if err != nil {
		return nil, err
	}
	for _, doc := range corrupt {
		h.cfg.Logger.Error("corrupt document omitted from the list of services", "key", doc.Key, "index", doc.Index, "err", doc.Err)
	}
	resp := &briarstandv1.ListServicesResponse{}
	for _, svc := range services {
		resp.Services = append(resp.Services, config.ToProto(svc))
	}
	return connect.NewResponse(resp), nil
}

// GetRollout returns the progress of a rollout.
func (h *handler) GetRollout(ctx context.Context, req *connect.Request[briarstandv1.GetRolloutRequest]) (*connect.Response[briarstandv1.GetRolloutResponse], error) {
	if err := config.ValidateName(req.Msg.GetService()); err != nil {
		return nil, err
	}
	revision := req.Msg.GetRevision()
	if revision <= 0 {
		newest, err := h.cfg.ConfigReader.Revision(ctx, req.Msg.GetService())
		if err != nil {
			return nil, err
		}
		revision = newest
	}
	rollout, err := h.cfg.Rollouts.Status(ctx, req.Msg.GetService(), revision)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&briarstandv1.GetRolloutResponse{Rollout: rollout}), nil
}

// ListAudit returns the audit records of a service, the newest first.
func (h *handler) ListAudit(ctx context.Context, req *connect.Request[briarstandv1.ListAuditRequest]) (*connect.Response[briarstandv1.ListAuditResponse], error) {
	if limit := req.Msg.GetLimit(); limit < 0 {
		return nil, &config.FieldError{Field: "limit", Value: strconv.Itoa(int(limit)), Allowed: "0 for all records, or more"}
	}
	records, err := h.cfg.ConfigReader.Audit(ctx, req.Msg.GetService(), int(req.Msg.GetLimit()))
	if err != nil {
		return nil, err
	}
	resp := &briarstandv1.ListAuditResponse{}
	for _, r := range records {
		resp.Records = append(resp.Records, config.AuditToProto(r))
	}
	return connect.NewResponse(resp), nil
}

// ListVMs returns the VMs in this VM's member table.
func (h *handler) ListVMs(ctx context.Context, _ *connect.Request[briarstandv1.ListVMsRequest]) (*connect.Response[briarstandv1.ListVMsResponse], error) {
	vms, err := h.cfg.VMs.ListVMs(ctx)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&briarstandv1.ListVMsResponse{Vms: vms}), nil
}
