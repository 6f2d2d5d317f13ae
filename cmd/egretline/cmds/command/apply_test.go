package command

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/subcommands"
	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"egretline.example/egretline/pkg/configcmd"
	"egretline.example/egretline/pkg/configquery"
	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/standin/logservice"
	"egretline.example/egretline/pkg/table"
	"egretline.example/egretline/service/api"
	"egretline.example/egretline/service/operatorcmd"
	"egretline.example/egretline/service/operatorquery"
	"egretline.example/egretline/service/platformlog"
)

const validFile = "[service.bookdesk]\nregion = \"midlands\"\n"

// operatorNode is a fixture that serves the operator's configuration endpoints of a node, with a log service.
type operatorNode struct {
	URL string
	log *logservice.Service
}

// newOperatorNode starts the fixture. The first lostReplies applies take effect, but their connections are closed
// without a reply.
func newOperatorNode(t *testing.T, lostReplies int) operatorNode {
	t.Helper()
	log := logservice.New(logservice.Faults{})
	logServer := httptest.NewServer(log)
	t.Cleanup(logServer.Close)
	config := table.New(fleet.Host{}, "").Config
	client := platformlog.New(logServer.URL, logServer.Client())
	mux := http.NewServeMux()
	(&operatorcmd.Apply{Applier: configcmd.New(client, nil, config, zerolog.Nop())}).Register(mux)
	(&operatorquery.Config{Source: configquery.Query{Config: config}}).Register(mux)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost && lostReplies > 0 {
			lostReplies--
			mux.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		}
		mux.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	return operatorNode{URL: server.URL, log: log}
}

// Guards against exit codes and messages that let operators and scripts mistake one outcome of an apply for another.
func TestApply(t *testing.T) {
	t.Run("accepted", func(t *testing.T) {
		n := newOperatorNode(t, 0)
		assertApply(t, n, validFile, subcommands.ExitSuccess, "accepted: a.toml is at revision 1")
		assertApply(t, n, validFile+"floor = 0\n", subcommands.ExitSuccess, "accepted: a.toml is at revision 2")
	})
	t.Run("refused by the check", func(t *testing.T) {
		n := newOperatorNode(t, 0)
		assertApply(t, n, "[service.bookdesk]\nregoin = 1\n", exitApplyRefused, "a.toml:2: service.bookdesk.regoin: unknown key")
		is.New(t).Equal(n.log.NextOffset(configcmd.ApplyStream), int64(0))
	})
	t.Run("conflict", func(t *testing.T) {
		n := newOperatorNode(t, 0)
		assertApply(t, n, validFile, subcommands.ExitSuccess, "accepted", "--base", "0")
		assertApply(t, n, validFile, exitApplyConflict, "a.toml is at revision 1, and the apply was made for revision 0",
			"--base", "0")
	})
	t.Run("unknown, then resolved by the printed command", func(t *testing.T) {
		n := newOperatorNode(t, 1)
		out := assertApply(t, n, validFile, exitApplyUnknown, "--base 0 --apply-id ")
		_, printed, _ := strings.Cut(out, "--base")
		assertApply(t, n, validFile, subcommands.ExitSuccess, "accepted: a.toml is at revision 1",
			strings.Fields("--base"+printed)...)
		is.New(t).Equal(n.log.NextOffset(configcmd.ApplyStream), int64(1))
	})
	t.Run("apply ID that was used for other contents", func(t *testing.T) {
		n := newOperatorNode(t, 0)
		assertApply(t, n, validFile, subcommands.ExitSuccess, "accepted", "--apply-id", "id")
		assertApply(t, n, "", exitApplyRefused, "was used before for other contents", "--apply-id", "id")
	})
	t.Run("node unreachable", func(t *testing.T) {
		server := httptest.NewServer(http.NotFoundHandler())
		server.Close()
		assertApply(t, operatorNode{URL: server.URL}, validFile, exitApplyUnreachable, "cannot reach node")
		assertApply(t, operatorNode{URL: server.URL}, validFile, exitApplyUnreachable, "cannot reach node", "--base", "0")
	})
	t.Run("JSON for programs", func(t *testing.T) {
		is := is.New(t)
		n := newOperatorNode(t, 0)
		out := assertApply(t, n, validFile, subcommands.ExitSuccess, "accepted", "--output", "json")
		var reply api.ApplyReply
		is.NoErr(json.Unmarshal([]byte(out), &reply))
		is.Equal(reply.Revision, int64(1))
		assertDecision(t, n, reply.ApplyID, http.StatusOK, api.ApplyAccepted)
		assertDecision(t, n, "other", http.StatusNotFound, api.ApplyUnknown)
	})
	t.Run("wrong usage", func(t *testing.T) {
		assertApply(t, operatorNode{}, validFile, subcommands.ExitUsageError, "Exit codes:", "--output", "xml")
	})
}

// assertApply runs apply for a file a.toml with the contents and returns its output. It asserts the exit code and that
// the output contains wantOutput.
func assertApply(
	t *testing.T, n operatorNode, contents string, code subcommands.ExitStatus, wantOutput string, args ...string,
) string {
	t.Helper()
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "a.toml")
	is.NoErr(os.WriteFile(path, []byte(contents), 0o600))
	var out bytes.Buffer
	a := &apply{stdout: &out, stderr: &out}
	flags := flag.NewFlagSet("apply", flag.ContinueOnError)
	a.SetFlags(flags)
	is.NoErr(flags.Parse(append([]string{"--node", n.URL, "--file", path}, args...)))
	got := a.Execute(context.Background(), flags)
	if got != code || !strings.Contains(out.String(), wantOutput) {
		t.Fatalf("exit code %d, want %d; output %q, want %q", got, code, out.String(), wantOutput)
	}
	return out.String()
}

func assertDecision(t *testing.T, n operatorNode, id string, status int, outcome string) {
	t.Helper()
	is := is.New(t)
	response, err := http.Get(n.URL + "/operator/apply/" + id)
	is.NoErr(err)
	defer response.Body.Close()
	var reply api.ApplyReply
	is.NoErr(json.NewDecoder(response.Body).Decode(&reply))
	is.Equal(response.StatusCode, status)
	is.Equal(reply.Outcome, outcome)
}
