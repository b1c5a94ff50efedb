package plan

// Names of the services of all cases.
const (
	ServicePlain   = "plain"
	ServiceStreams = "streams"
	ServiceEngines = "engines"
	ServiceBulk    = "bulk"
)

// Route is a route of all cases. Its prefix is its name between slashes.
type Route struct {
	Name, Service string
	// Repeatable requests may run more than once: idempotent ones and streams that may be resumed.
	Repeatable, Streaming bool
}

// Routes are the routes of all cases.
var Routes = []Route{
	{"once", ServicePlain, false, false}, {"again", ServicePlain, true, false}, {"resumable", ServiceStreams, true, true}, {"stream", ServiceStreams, false, true},
	{"prompt", ServiceEngines, true, true}, {"prompt-once", ServiceEngines, false, true}, {"large", ServiceBulk, false, false}, {"large-stream", ServiceBulk, false, true},
}

// RouteNamed returns the route with a name, nil if there is none.
func RouteNamed(name string) *Route {
	for i := range Routes {
		if Routes[i].Name == name {
			return &Routes[i]
		}
	}
	return nil
}
