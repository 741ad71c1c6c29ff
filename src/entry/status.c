/* Health, metrics and what operators look at.  */
#include <stdio.h>
#include <stdlib.h>

#include "entry/entry.h"

static void
show_health (struct en_core *core, struct en_request *req)
{
  en_answer_json (
      core, req, 200,
      json_pack ("{s:s}", "state",
                 atomic_load (&core->leaving) ? "leaving" : "live"),
      NULL, NULL);
}

static void
set (struct en_core *core, enum st_kind kind, const char *name,
     const char *labels, int64_t value)
{
  st_set (&core->stat, core->shard,
          st_series (&core->stat, kind, name, labels), value);
}

static void
gauge (struct en_core *core, const char *name, int64_t value)
{
  set (core, ST_GAUGE, name, "", value);
}

static void
set_client (struct en_core *core, struct hc_client *hc, const char *client)
{
  char labels[ST_LABELS];
  struct hc_counts n;

  hc_count (hc, &n);
  snprintf (labels, sizeof labels, "client=\"%s\"", client);
  set (core, ST_COUNTER, "skr_http_requests_total", labels, n.requests);
  snprintf (labels, sizeof labels, "client=\"%s\",dir=\"in\"", client);
  set (core, ST_COUNTER, "skr_http_bytes_total", labels, n.bytes_in);
  snprintf (labels, sizeof labels, "client=\"%s\",dir=\"out\"", client);
  set (core, ST_COUNTER, "skr_http_bytes_total", labels, n.bytes_out);
}

static void
set_gauges (struct en_core *core)
{
  set_client (core, core->hc_table, "table");
  set_client (core, core->hc_up, "upstream");
  gauge (core, "skr_requests_in_progress", core->live_count);
  gauge (core, "skr_calls_waiting", (int64_t)core->wanting.length);
  gauge (core, "skr_table_down", core->env.table_down);
  gauge (core, "skr_hedge_after_ms", core->hedge_ms);
}

static void
show_metrics (struct en_core *core, struct en_request *req)
{
  char *text;

  set_gauges (core);
  text = st_text (&core->stat);
  en_answer_text (core, req, 200, "text/plain; version=0.0.4", text);
  free (text);
}

static void
show_counters (struct en_core *core, struct en_request *req)
{
  set_gauges (core);
  en_answer_json (core, req, 200,
                  json_pack ("{s:s,s:I,s:o}", "vm", core->set->vm, "wall_ms",
                             (json_int_t)bs_wall_ms (), "series",
                             st_json (&core->stat)),
                  NULL, NULL);
}

static json_t *
show_peers (const struct en_core *core)
{
  json_t *list = json_array ();

  for (int i = 0; i < core->peers; i++)
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
show_upstreams (const struct en_core *core)
{
  json_t *list = json_array ();

  for (int i = 0; i < core->pool.count; i++)
    {
      const struct fl_upstream *u = &core->pool.up[i];

      if (!u->used)
        continue;
      json_array_append_new (
          list, json_pack ("{s:s,s:i,s:i,s:b,s:b,s:b}", "id", u->id, "slots",
                           fl_pool_allowed (&core->pool, i, core->now_ms),
                           "in_progress", u->in_flight, "granted",
                           core->now_ms < u->granted_until_ms, "ejected",
                           core->now_ms < u->ejected_until_ms, "leaving",
                           u->leaving || core->now_ms < u->left_until_ms));
    }
  return list;
}

static void
show_status (struct en_core *core, struct en_request *req)
{
  json_t *o = json_pack (
      "{s:s,s:s,s:s,s:b,s:i,s:i,s:I,s:I,s:o,s:o}", "vm", core->set->vm,
      "domain", core->set->domain, "state",
      atomic_load (&core->leaving) ? "leaving" : "live", "table_down",
      core->env.table_down, "in_progress", core->live_count, "waiting",
      (int)core->wanting.length, "plans_version",
      (json_int_t)cf_version (&core->config, CF_PLANS), "allowances_version",
      (json_int_t)cf_version (&core->config, CF_ALLOWANCES), "peers",
      show_peers (core), "upstreams", show_upstreams (core));

  en_answer_json (core, req, 200, o, NULL, NULL);
}

static void
show_polled (struct en_core *core, struct en_request *req, json_t *value)
{
  if (value)
    en_answer_json (core, req, 200, json_incref (value), NULL, NULL);
  else
    en_refuse (core, req, FL_PROBLEM_UNREADABLE,
               "nothing was read from the platform yet");
}

static void
show_vms (struct en_core *core, struct en_request *req)
{
  json_t *list = core->vms.read_ms < 0 ? NULL : vl_list_json (&core->vms.list);

  show_polled (core, req, list);
  json_decref (list);
}

void
en_view (struct en_core *core, struct en_request *req)
{
  switch (req->fr.op)
    {
    case FL_OP_HEALTH:
      show_health (core, req);
      break;
    case FL_OP_METRICS:
      show_metrics (core, req);
      break;
    case FL_OP_COUNTERS:
      show_counters (core, req);
      break;
    case FL_OP_VMS:
      show_vms (core, req);
      break;
    case FL_OP_CELLS:
      show_polled (core, req, core->cells);
      break;
    default:
      show_status (core, req);
      break;
    }
}
