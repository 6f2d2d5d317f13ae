package node

import (
	"context"
	"crypto/tls"
	"time"

	"egretline.example/egretline/internal/http/strict"
	"egretline.example/egretline/pkg/settings"
	"egretline.example/egretline/service/peer"
	"egretline.example/egretline/service/tlsfiles"
)

// certificateReloadInterval is the time between two reads of the certificate files. Certificates are replaced days before
// they expire, so a delay of seconds does not matter.
const certificateReloadInterval = 10 * time.Second

// certificates holds the certificate source of each listener; nil means plain TCP.
type certificates struct {
	caller *tlsfiles.Source
	peer   *tlsfiles.Source
}

func loadCertificates(s settings.Settings) (certificates, error) {
	var c certificates
	var err error
	if s.CallerCertificate != "" {
		c.caller, err = tlsfiles.New(tlsfiles.Files{Certificate: s.CallerCertificate, Key: s.CallerKey})
		if err != nil {
			return c, err
		}
	}
	if s.PeerCertificate != "" {
		c.peer, err = tlsfiles.New(tlsfiles.Files{Certificate: s.PeerCertificate, Key: s.PeerKey, Authority: s.PeerAuthority})
	}
	return c, err
}

// wrapListeners adds TLS to the listeners that have certificates.
func (c certificates) wrapListeners(servers []*server) {
	for _, s := range servers {
		switch {
		case s.Name == "caller" && c.caller != nil:
			s.Listener = tls.NewListener(s.Listener, c.caller.Server())
		case s.Name == "peer" && c.peer != nil:
			s.Listener = tls.NewListener(s.Listener, c.peer.Server())
		}
	}
}

func (c certificates) peerTransport() *strict.Transport {
	if c.peer == nil {
		return peer.NewTransport(nil)
	}
	return peer.NewTransport(c.peer.Dial)
}

// reloadCertificates is a periodic job that reads the certificate files again.
func (n *Node) reloadCertificates(context.Context) {
	for name, source := range map[string]*tlsfiles.Source{"caller": n.certificates.caller, "peer": n.certificates.peer} {
		if source == nil {
			continue
		}
		changed, err := source.Reload()
		if err != nil {
			n.Log.Error().Err(err).Str("listener", name).Msg("cannot reload certificates; keeping the earlier ones")
		}
		if changed {
			n.Log.Info().Str("listener", name).Msg("certificates reloaded")
		}
	}
}
