/* Counters of ended jobs and the HTTP server that exposes them.  */
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "sched/sched.h"
#include "skr/log.h"

enum
{
  SERVER_THREADS = 1,
  MAX_CONNECTIONS = 16,
  MAX_BODY_BYTES = 1024, /* no request needs a body */
  IDLE_S = 10,
  STOP_POLL_MS = 20,
  SEND_WAIT_MS = 2000, /* at a stop, for clients that read their answers */
  STATUS_OK = 200,
  STATUS_UNAUTHORIZED = 401,
  STATUS_NOT_FOUND = 404
};

static const char *
string_field (const json_t *row, const char *field)
{
  const char *s = json_string_value (json_object_get (row, field));

  return s ? s : "";
}

static int64_t
integer_field (const json_t *row, const char *field)
{
  return json_integer_value (json_object_get (row, field));
}

static void
observe_ms (struct sched *s, const char *name, const char *labels, int64_t ms)
{
  st_observe_us (&s->stat, s->shard,
                 st_series (&s->stat, ST_HISTOGRAM, name, labels), ms * 1000);
}

/* All times in ROW come from wall clocks of this service's VMs.  */
void
sc_count_ended_job (struct sched *s, const json_t *row)
{
  int64_t submitted = integer_field (row, "submitted_at");
  int64_t started = integer_field (row, "started_at");
  int64_t ended = integer_field (row, "ended_at");
  char labels[ST_LABELS_SIZE], with_end[ST_LABELS_SIZE];

  snprintf (labels, sizeof labels, "class=\"%s\",account=\"%s\"",
            string_field (row, "class"), string_field (row, "account"));
  snprintf (with_end, sizeof with_end,
            "class=\"%s\",account=\"%s\",end=\"%s\"",
            string_field (row, "class"), string_field (row, "account"),
            string_field (row, "state"));
  st_add (&s->stat, s->shard,
          st_series (&s->stat, ST_COUNTER, "skr_jobs_total", with_end), 1);
  if (started)
    observe_ms (s, "skr_job_start_seconds", labels, started - submitted);
  observe_ms (s, "skr_job_completion_seconds", labels, ended - submitted);
}

static void
set_gauge (struct sched *s, const char *name, const char *labels,
           int64_t value)
{
  st_set (&s->stat, s->shard, st_series (&s->stat, ST_GAUGE, name, labels),
          value);
}

void
sc_update_gauges (void *sched, int64_t now_ms)
{
  struct sched *s = sched;
  struct hc_counts counts;

  (void)now_ms;
  hc_count (s->hc, &counts);
  sw_tick (&s->watch, &s->stat, s->shard);
  set_gauge (s, "skr_cells_held", "", sc_held_count (s));
  set_gauge (s, "skr_http_requests_total", "", counts.requests);
  set_gauge (s, "skr_http_bytes_total", "dir=\"out\"", counts.bytes_out);
  set_gauge (s, "skr_http_bytes_total", "dir=\"in\"", counts.bytes_in);
}

static void
send_answer (struct hs_exchange *ex, int status, const char *type,
             const char *body)
{
  struct hs_answer a
      = { .status = status, .content_type = type, .body = body };

  hs_answer (ex, &a);
}

static int
is_operator (const struct sched *s, const char *authorization)
{
  static const char scheme[] = "Bearer ";
  char digest[BS_DIGEST_SIZE];

  if (!authorization || strncmp (authorization, scheme, sizeof scheme - 1) != 0
      || strlen (s->settings->operator_digest) != BS_DIGEST_SIZE - 1)
    return 0;
  bs_digest (digest, authorization + sizeof scheme - 1);
  return !sodium_memcmp (digest, s->settings->operator_digest,
                         BS_DIGEST_SIZE - 1);
}

static void
show_counters (struct sched *s, struct hs_exchange *ex)
{
  json_t *o
      = json_pack ("{s:s,s:I,s:o}", "vm", s->settings->vm, "wall_ms",
                   (json_int_t)bs_wall_ms (), "series", st_json (&s->stat));
  char *body = o ? json_dumps (o, JSON_COMPACT) : NULL;

  send_answer (ex, STATUS_OK, "application/json", body ? body : "{}");
  free (body);
  json_decref (o);
}

static void
handle (void *arg, struct hs_exchange *ex)
{
  const struct hs_request *r = hs_get_request (ex);
  struct sched *s = arg;
  char *metrics;

  if (!strcmp (r->path, "/metrics"))
    {
      metrics = st_text (&s->stat);
      send_answer (ex, STATUS_OK, "text/plain; version=0.0.4",
                   metrics ? metrics : "");
      free (metrics);
    }
  else if (strcmp (r->path, "/v1/counters") != 0)
    send_answer (ex, STATUS_NOT_FOUND, "application/problem+json",
                 "{\"title\":\"No such page\",\"status\":404}");
  else if (!is_operator (s, r->authorization))
    send_answer (
        ex, STATUS_UNAUTHORIZED, "application/problem+json",
        "{\"title\":\"The operator's key is needed\",\"status\":401}");
  else
    show_counters (s, ex);
}

int
sc_counters_start (struct sched *s)
{
  struct hs_config config = { .listen = s->settings->listen,
                              .threads = SERVER_THREADS,
                              .max_connections = MAX_CONNECTIONS,
                              .max_body = MAX_BODY_BYTES,
                              .idle_s = IDLE_S,
                              .handle = handle,
                              .arg = s };

  st_init (&s->stat);
  s->shard = st_attach (&s->stat);
  if (!*s->settings->listen)
    return CT_OK;
  if (hs_new (&s->server, &config))
    return CT_EINVAL;
  s->watch = (struct sw_watch){ s->server, "counters" };
  return CT_OK;
}

void
sc_counters_stop (struct sched *s)
{
  struct bs_clock clock = bs_clock_system ();
  int64_t begin_ms = bs_now_ms (&clock);

  if (s->server)
    {
      hs_stop_listening (s->server);
      while (hs_unanswered (s->server)
             || (hs_in_progress (s->server)
                 && bs_now_ms (&clock) - begin_ms < SEND_WAIT_MS))
        usleep (STOP_POLL_MS * 1000);
      hs_free (s->server);
    }
  st_fini (&s->stat);
}
