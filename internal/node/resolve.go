package node

import (
	"github.com/hickorybank/hickorybank/internal/api"
	"github.com/hickorybank/hickorybank/internal/config"
	"github.com/hickorybank/hickorybank/internal/request"
)

// target is the resolved destination of a chat call.
type target struct {
	class *config.Class
	// versions may serve the call; none is withdrawn or forbidden to the organisation.
	versions []string
	// pinned means that the caller or its session determines the version.
	pinned bool
}

// resolve maps the names in a call to a class and the versions that may serve it.
// sessionVersion is empty outside a session.
func resolve(call api.ChatCall, sessionVersion string) (target, *request.Failure) {
	s := call.Snapshot
	names, pinned, fail := candidates(s, call.Model)
	if fail != nil {
		return target{}, fail
	}
	class, fail := classOf(s, call, names)
	if fail != nil {
		return target{}, fail
	}
	if sessionVersion != "" {
		if !contains(names, sessionVersion) {
			return target{}, request.Refuse(request.CodeBadRequest, 0, "the session is on version "+sessionVersion+", which "+call.Model+" does not cover")
		}
		names = []string{sessionVersion}
		pinned = true
	}
	allowed := make([]string, 0, len(names))
	for _, name := range names {
		if s.Allowed(call.Org, name) {
			allowed = append(allowed, name)
		}
	}
	if len(allowed) == 0 {
		return target{}, noneAllowed(s, call.Org, names, sessionVersion != "")
	}
	return target{class: class, versions: allowed, pinned: pinned}, nil
}

// candidates returns the versions that a name covers: the version itself, those of the named
// model, or those of the named class's model. pinned is set when the name is a version.
func candidates(s *config.Snapshot, name string) (names []string, pinned bool, fail *request.Failure) {
	if s.Version(name) != nil {
		return []string{name}, true, nil
	}
	if m := s.Model(name); m != nil {
		return versionNames(m), false, nil
	}
	class := s.Class(name)
	if class == nil {
		return nil, false, request.Refuse(request.CodeUnknownModel, 0, "there is no model, version or class "+name)
	}
	if m := s.Model(class.Model); m != nil {
		return versionNames(m), false, nil
	}
	for i := range s.Doc.Models {
		names = append(names, versionNames(&s.Doc.Models[i])...)
	}
	return names, false, nil
}

func versionNames(m *config.Model) []string {
	names := make([]string, 0, len(m.Versions))
	for i := range m.Versions {
		names = append(names, m.Versions[i].Name)
	}
	return names
}

// classOf returns the class that the call names, or else the first class of the model that it
// names.
func classOf(s *config.Snapshot, call api.ChatCall, names []string) (*config.Class, *request.Failure) {
	if call.Class != "" {
		if class := s.Class(call.Class); class != nil {
			return class, nil
		}
		return nil, request.Refuse(request.CodeBadRequest, 0, "there is no class "+call.Class)
	}
	if class := s.Class(call.Model); class != nil {
		return class, nil
	}
	model := s.ModelOf(names[0])
	for i := range s.Doc.Classes {
		if s.Doc.Classes[i].Model == model.Name {
			return &s.Doc.Classes[i], nil
		}
	}
	return nil, request.Refuse(request.CodeBadRequest, 0, "no class uses model "+model.Name+"; name one in Hickorybank-Class")
}

// noneAllowed returns the refusal of a call for which no version is allowed. It distinguishes
// a withdrawn version from one that the organisation may not use.
func noneAllowed(s *config.Snapshot, org *config.Organisation, names []string, inSession bool) *request.Failure {
	for _, name := range names {
		v := s.Version(name)
		if v != nil && v.State == config.Withdrawn && contains(org.Versions, name) {
			return withdrawn(name, inSession)
		}
	}
	return request.Refuse(request.CodeNotAllowed, 0, "the organisation may use none of the versions asked for")
}

func withdrawn(version string, inSession bool) *request.Failure {
	message := "version " + version + " is withdrawn"
	if inSession {
		// A session never changes its version silently: the user must be able to see that the
		// wording comes from another version.
		message += "; the session ends with it, begin a new one"
	}
	return request.Refuse(request.CodeWithdrawn, 0, message)
}

func contains(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}
