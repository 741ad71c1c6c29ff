/* Health, metrics, counters and status, for load balancers and operators.  */
#include <stdio.h>
#include <stdlib.h>

#include "entry/entry.h"

static void
answer_health (struct en_core *core, struct en_request *req)
{
  en_answer_json (
      core, req, 200,
      json_pack ("{s:s}", "state",
                 atomic_load (&core->leaving) ? "leaving" : "live"),
      NULL, NULL);
}

static void
set_metric (struct en_core *core, enum st_kind kind, const char *name,
            const char *labels, int64_t value)
{
  st_set (&core->stat, core->stat_shard,
          st_series (&core->stat, kind, name, labels), value);
}

static void
set_gauge (struct en_core *core, const char *name, int64_t value)
{
  set_metric (core, ST_GAUGE, name, "", value);
}

static void
set_client_metrics (struct en_core *core, struct hc_client *hc,
                    const char *client)
{
  char labels[ST_LABELS_SIZE];
  struct hc_counts n;

  hc_count (hc, &n);
  snprintf (labels, sizeof labels, "client=\"%s\"", client);
  set_metric (core, ST_COUNTER, "skr_http_requests_total", labels, n.requests);
  snprintf (labels, sizeof labels, "client=\"%s\",dir=\"in\"", client);
  set_metric (core, ST_COUNTER, "skr_http_bytes_total", labels, n.bytes_in);
  snprintf (labels, sizeof labels, "client=\"%s\",dir=\"out\"", client);
  set_metric (core, ST_COUNTER, "skr_http_bytes_total", labels, n.bytes_out);
}

static void
update_metrics (struct en_core *core)
{
  set_client_metrics (core, core->table_http, "table");
  set_client_metrics (core, core->upstream_http, "upstream");
  set_gauge (core, "skr_requests_in_progress", core->request_count);
  set_gauge (core, "skr_calls_waiting", (int64_t)core->slot_waiters.length);
  set_gauge (core, "skr_table_down", core->env.table_down);
  set_gauge (core, "skr_hedge_after_ms", core->hedge_ms);
}

void
en_watch (void *arg, int64_t now_ms)
{
  struct en_core *core = arg;

  (void)now_ms;
  sw_tick (&core->watch, &core->stat, core->stat_shard);
}

static void
answer_metrics (struct en_core *core, struct en_request *req)
{
  char *text;

  update_metrics (core);
  text = st_text (&core->stat);
  en_answer_text (core, req, 200, "text/plain; version=0.0.4", text);
  free (text);
}

static void
answer_counters (struct en_core *core, struct en_request *req)
{
  update_metrics (core);
  en_answer_json (core, req, 200,
                  json_pack ("{s:s,s:I,s:o}", "vm", core->settings->vm,
                             "wall_ms", (json_int_t)bs_wall_ms (), "series",
                             st_json (&core->stat)),
                  NULL, NULL);
}

static json_t *
peers_json (const struct en_core *core)
{
  json_t *list = json_array ();

  for (int i = 0; i < core->peer_count; i++)
    {
      const struct en_peer *p = &core->peer[i];

      json_array_append_new (
          list, json_pack ("{s:s,s:s,s:s,s:b,s:I}", "vm", p->vm, "role",
                           p->role == PR_SCHED ? "sched" : "entry", "address",
                           p->address, "leaving", p->leaving, "silent_ms",
                           (json_int_t)(core->now_ms - p->heard_ms)));
    }
  return list;
}

static json_t *
upstreams_json (const struct en_core *core)
{
  json_t *list = json_array ();

  for (int i = 0; i < core->pool.count; i++)
    {
      const struct fl_upstream *u = &core->pool.up[i];

      if (!u->in_use)
        continue;
      json_array_append_new (
          list,
          json_pack ("{s:s,s:i,s:i,s:b,s:b,s:b}", "id", u->id, "slots",
                     fl_pool_allowed_slots (&core->pool, i, core->now_ms),
                     "in_progress", u->in_flight, "granted",
                     core->now_ms < u->granted_until_ms, "ejected",
                     core->now_ms < u->ejected_until_ms, "leaving",
                     u->leaving || core->now_ms < u->leaving_until_ms));
    }
  return list;
}

static void
answer_status (struct en_core *core, struct en_request *req)
{
  json_t *o = json_pack (
      "{s:s,s:s,s:s,s:b,s:i,s:i,s:I,s:I,s:o,s:o}", "vm", core->settings->vm,
      "domain", core->settings->domain, "state",
      atomic_load (&core->leaving) ? "leaving" : "live", "table_down",
      core->env.table_down, "in_progress", core->request_count, "waiting",
      (int)core->slot_waiters.length, "plans_version",
      (json_int_t)cf_version (&core->config, CF_PLANS), "allowances_version",
      (json_int_t)cf_version (&core->config, CF_ALLOWANCES), "peers",
      peers_json (core), "upstreams", upstreams_json (core));

  en_answer_json (core, req, 200, o, NULL, NULL);
}

static void
answer_polled_value (struct en_core *core, struct en_request *req,
                     json_t *value)
{
  if (value)
    en_answer_json (core, req, 200, json_incref (value), NULL, NULL);
  else
    en_refuse (core, req, FL_PROBLEM_UNREADABLE,
               "nothing was read from the platform yet");
}

static void
answer_vms (struct en_core *core, struct en_request *req)
{
  json_t *list = core->vms.read_ms < 0 ? NULL : vl_list_json (&core->vms.list);

  answer_polled_value (core, req, list);
  json_decref (list);
}

void
en_status_begin (struct en_core *core, struct en_request *req)
{
  switch (req->fr.op)
    {
    case FL_OP_HEALTH:
      answer_health (core, req);
      break;
    case FL_OP_METRICS:
      answer_metrics (core, req);
      break;
    case FL_OP_COUNTERS:
      answer_counters (core, req);
      break;
    case FL_OP_VMS:
      answer_vms (core, req);
      break;
    case FL_OP_CELLS:
      answer_polled_value (core, req, core->cells_json);
      break;
    default:
      answer_status (core, req);
      break;
    }
}
