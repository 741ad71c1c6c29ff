/* The main program of skr-entry: settings, start and shutdown.  */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "entry/entry.h"
#include "skr/crash.h"
#include "skr/log.h"
#include "skr/opt.h"

enum
{
  EXIT_USAGE = 2,
  DRAIN_POLL_MS = 20,        /* period of checks for requests in progress */
  IDLE_CLOSE_WAIT_MS = 2000, /* longest wait for idle connections to close */
  MINUTE_MS = 60000,
  DAY_MS = 86400000
};

#define FIELD(name) offsetof (struct en_settings, name)

static const struct opt_def defs[] = {
  { "vm", OPT_STRING, "", 1, 60, "entry", "name of this VM", FIELD (vm) },
  { "domain", OPT_STRING, "", 1, 60, "d1", "failure domain of this VM",
    FIELD (domain) },
  { "listen", OPT_STRING, "IP:PORT", 9, 60, "127.0.0.1:7100",
    "address and port for clients and operators; port 0 selects a free port",
    FIELD (listen) },
  { "platform", OPT_STRING, "url", 1, 200, "http://127.0.0.1:7000",
    "URL of the platform's table service", FIELD (platform) },
  { "peer", OPT_STRING, "IP:PORT", 0, 60, "",
    "address and port for messages from the daemons of other VMs; empty: "
    "none",
    FIELD (peer) },
  { "peers", OPT_STRING, "IP:PORT", 0, 4000, "",
    "additional peers that are not in the VM list, separated by commas",
    FIELD (peers) },
  { "peer-keys", OPT_STRING, "file", 0, 400, "",
    "JSON file of CURVE keys, reloaded on change; required unless every "
    "peer is on loopback",
    FIELD (peer_keys) },
  { "operator-digest", OPT_STRING, "", 0, 64, "",
    "digest of the operators' key, as printed by 'skr key digest'",
    FIELD (operator_digest) },
  { "tls-cert", OPT_STRING, "file", 0, 400, "",
    "PEM file of the TLS certificate chain; empty: plain HTTP",
    FIELD (tls_cert) },
  { "tls-key", OPT_STRING, "file", 0, 400, "",
    "PEM file of the private key of tls-cert", FIELD (tls_key) },
  { "log-output", OPT_STRING, "", 1, 16, "plain",
    "log format: plain, json or journald", FIELD (log_output) },
  { "log-level", OPT_INT, "", LG_ERROR, LG_DEBUG, "3",
    "log level: 0 error, 1 warning, 2 notice, 3 info, 4 debug",
    FIELD (log_level) },
  { "http-threads", OPT_INT, "threads", 1, 64, "2",
    "number of HTTP server threads", FIELD (http_threads) },
  { "max-requests", OPT_INT, "requests", 8, 65536, "2048",
    "maximum number of requests in progress", FIELD (max_requests) },
  { "max-body", OPT_INT, "bytes", 1024, 1048576, "65536",
    "maximum size of a request body", FIELD (max_body) },
  { "connections", OPT_INT, "connections", 1, 65536, "1024",
    "maximum number of incoming connections, and of connections to the "
    "platform; from seven eighths of it on, each new incoming one closes the "
    "one that has waited for longest. Each may hold 16 KiB of a request body, "
    "and larger bodies together 16 KiB for each; docs/MEMORY.md adds up the "
    "memory",
    FIELD (connections) },
  { "idle-s", OPT_INT, "s", 1, 3600, "60",
    "time after which an idle incoming connection is closed", FIELD (idle_s) },
  { "table-timeout-ms", OPT_INT, "ms", 10, MINUTE_MS, "1000",
    "timeout of a request to the table service", FIELD (table_timeout_ms) },
  { "connect-timeout-ms", OPT_INT, "ms", 10, MINUTE_MS, "500",
    "timeout for establishing a connection to the platform or a worker",
    FIELD (connect_timeout_ms) },
  { "attempt-timeout-ms", OPT_INT, "ms", 10, DAY_MS, "10000",
    "maximum timeout of one attempt of a repeatable call",
    FIELD (attempt_timeout_ms) },
  { "late-ms", OPT_INT, "ms", 0, DAY_MS, "30000",
    "how long after its deadline a non-repeatable call still waits for an "
    "answer",
    FIELD (late_ms) },
  { "submit-timeout-ms", OPT_INT, "ms", 10, MINUTE_MS, "5000",
    "timeout for writing a submitted job to the table",
    FIELD (submit_timeout_ms) },
  { "drain-ms", OPT_INT, "ms", 0, 600000, "3000",
    "how long new requests are accepted after SIGTERM or SIGINT",
    FIELD (drain_ms) },
  { "finish-ms", OPT_INT, "ms", 0, 600000, "30000",
    "maximum time after the HTTP server is drained to record late answers "
    "and finish table writes",
    FIELD (finish_ms) },
  { "upstream-connections", OPT_INT, "connections", 1, 1024, "8",
    "maximum number of connections to one worker",
    FIELD (upstream_connections) },
  { "spare-workers", OPT_INT, "workers", 0, 1024, "1",
    "number of workers per cell whose loss all guarantees must survive",
    FIELD (spare_workers) },
  { "keep-keys-h", OPT_INT, "h", 25, 8784, "48",
    "how long an idempotency key is kept after the last write of its row",
    FIELD (keep_keys_h) },
  { "no-hedge", OPT_FLAG, "", 0, 1, "0",
    "never send a second attempt before the first has ended",
    FIELD (no_hedge) },
  { "fault-point", OPT_STRING, "", 1, 20, "none",
    "for tests: point at which non-repeatable calls halt: none, "
    "before-claim, after-claim, after-dispatch or before-answer",
    FIELD (fault_point) },
  { NULL, OPT_INT, "", 0, 0, NULL, NULL, 0 }
};

static void *
run_core (void *arg)
{
  en_core_run (arg);
  return NULL;
}

static char *
read_pem (const char *path)
{
  char *text = NULL;

  if (*path && !g_file_get_contents (path, &text, NULL, NULL))
    {
      fprintf (stderr, "skr-entry: cannot read %s\n", path);
      exit (EXIT_USAGE);
    }
  return text;
}

static int
listen_http (struct en_core *core, const struct en_settings *settings)
{
  struct hs_config config = { .listen = settings->listen,
                              .tls_cert = read_pem (settings->tls_cert),
                              .tls_key = read_pem (settings->tls_key),
                              .threads = (int)settings->http_threads,
                              .max_connections = (int)settings->connections,
                              .max_body = (size_t)settings->max_body,
                              .idle_s = (int)settings->idle_s,
                              .handle = en_on_http,
                              .arg = core };
  int error = hs_new (&core->server, &config);

  if (error)
    lg_log (LG_LISTEN_FAILED, 2,
            (struct lg_field[]){ lg_str ("address", settings->listen),
                                 lg_str ("reason", hs_strerror (error)) });
  core->watch = (struct sw_watch){ core->server, "callers" };
  return error;
}

/* Serves requests for drain_ms, during which the load balancer sees that this
   VM is leaving.  Then accepts no connection any more and waits for the
   requests in progress.  Each request has a deadline, and clients have
   finish_ms to read their answers, so the wait ends.  */
static void
drain (struct en_core *core, const struct en_settings *settings)
{
  struct bs_clock clock = bs_clock_system ();
  int64_t now_ms, stopped_ms;

  atomic_store (&core->leaving, 1);
  lg_log (LG_STOPPING, 1,
          (struct lg_field[]){
              lg_int ("in_progress", hs_in_progress (core->server)) });
  hs_drain (core->server);
  g_usleep ((gulong)settings->drain_ms * 1000);
  hs_stop_listening (core->server);
  stopped_ms = now_ms = bs_now_ms (&clock);
  while (hs_unanswered (core->server)
         || (hs_in_progress (core->server)
             && now_ms - stopped_ms < settings->finish_ms)
         || (hs_connections (core->server)
             && now_ms - stopped_ms < IDLE_CLOSE_WAIT_MS))
    {
      g_usleep (DRAIN_POLL_MS * 1000);
      now_ms = bs_now_ms (&clock);
    }
}

int
main (int argc, char **argv)
{
  static struct en_core core;
  struct en_settings settings;
  struct bs_thread thread;
  int64_t cut;

  opt_parse (defs, &settings, argc, argv, "[SETTINGS]",
             "HTTP for callers and operators of skylarkramp.", NULL);
  if (bs_init ()
      || lg_init ("skr-entry", settings.log_output, settings.log_level))
    {
      fprintf (stderr,
               "skr-entry: --log-output (SKR_LOG_OUTPUT): \"%s\" is "
               "not allowed; plain, json or journald\n",
               settings.log_output);
      return EXIT_USAGE;
    }
  cr_install ("skr-entry", STDERR_FILENO,
              !strcmp (settings.log_output, "json"));
  bs_stop_on_signals ();
  if (en_core_init (&core, &settings))
    {
      fprintf (stderr, "skr-entry: cannot start: check --fault-point, --peer "
                       "and --peer-keys\n");
      return EXIT_USAGE;
    }
  if (listen_http (&core, &settings)
      || bs_thread_start (&thread, run_core, &core))
    return EXIT_FAILURE;
  printf ("listening %.*s:%d\n", (int)strcspn (settings.listen, ":"),
          settings.listen, hs_port (core.server));
  fflush (stdout);
  lg_log (LG_STARTED, 1,
          (struct lg_field[]){ lg_str ("address", settings.listen) });
  while (!bs_stop_wait (DRAIN_POLL_MS * 50))
    continue;
  drain (&core, &settings);
  atomic_store (&core.stop, 1);
  bs_thread_join (&thread);
  cut = hs_count_truncated (core.server);
  hs_free (core.server);
  en_core_fini (&core);
  lg_log (LG_STOPPED, 1, (struct lg_field[]){ lg_int ("cut", cut) });
  return EXIT_SUCCESS;
}
