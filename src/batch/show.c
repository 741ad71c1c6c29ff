/* Status of this VM and its jobs for operators, with the age of the data.
   Served on the metrics address.  */
#include <string.h>

#include "batch/batch.h"
#include "batch/term.h"

enum
{
  OK = 200,
  NOT_FOUND = 404
};

static const char status_path[] = "/v1/status";
static const char jobs_path[] = "/v1/jobs/";
static const char resume_suffix[] = "/resume";

static const char *
phase_name (enum ba_phase phase)
{
  switch (phase)
    {
    case BA_STANDBY:
      return "follows";
    case BA_LOADING:
      return "loads";
    case BA_ACTIVE:
      return "schedules";
    }
  return "?";
}

/* Milliseconds since SINCE_MS; -1 if SINCE_MS is 0, for an event that has
   not happened.  */
static json_int_t
age_ms (const struct batch *b, int64_t since_ms)
{
  return since_ms ? b->now_ms - since_ms : -1;
}

static json_t *
path_status (const struct batch *b, enum ac_path_name path)
{
  const struct ac_path *p = &b->access.path[path];

  return json_pack ("{s:s,s:s,s:I}", "state", ac_state_name (p->state),
                    "evidence", ac_evidence_name (p->evidence), "since_ms",
                    age_ms (b, p->since_ms));
}

/* Adds the access to the store, if it is tracked.  */
static void
add_access (json_t *o, const struct batch *b)
{
  const struct ac_access *a = &b->access;

  if (!ba_tracks_access (b))
    return;
  json_object_set_new (o, "reads",
                       json_string (ac_state_name (a->path[AC_READS].state)));
  json_object_set_new (o, "writes",
                       json_string (ac_state_name (a->path[AC_WRITES].state)));
  json_object_set_new (o, "access",
                       json_pack ("{s:o,s:o,s:I,s:i}", "reads",
                                  path_status (b, AC_READS), "writes",
                                  path_status (b, AC_WRITES), "write_seen_ms",
                                  (json_int_t)(a->active_ms - a->seen_ms),
                                  "refused_callers", a->refused));
  if (b->relay.peers)
    json_object_set_new (o, "relay_peers", json_integer (b->relay.peers->len));
}

/* The closed failure domains.  Workers and runs are known to the holder
   only.  */
static json_t *
closed_domains (const struct batch *b)
{
  json_t *list = json_array ();

  for (int i = 0; i < b->domains.count; i++)
    {
      const struct dm_domain *d = &b->domains.closed[i];
      json_t *o = json_pack ("{s:s,s:I,s:I}", "domain", d->name, "version",
                             (json_int_t)d->version, "closed_ms",
                             age_ms (b, d->closed_ms));
      int workers, runs;

      if (b->phase == BA_ACTIVE)
        {
          sj_count_domain (b->cluster, d->name, &workers, &runs);
          json_object_set_new (o, "workers", json_integer (workers));
          json_object_set_new (o, "runs", json_integer (runs));
        }
      json_array_append_new (list, o);
    }
  return list;
}

/* The accounts that have work, with their shares.  */
static json_t *
list_accounts (const struct batch *b)
{
  struct sj_account_share account[BA_MAX_ACCOUNTS];
  int n = sj_account_shares (b->cluster, account, BA_MAX_ACCOUNTS);
  json_t *list = json_array ();

  for (int i = 0; i < n; i++)
    {
      const struct sj_account_share *a = &account[i];

      if (a->running || a->waiting || a->share_permille)
        json_array_append_new (
            list,
            json_pack ("{s:s,s:I,s:I,s:I,s:b,s:I,s:I}", "account", a->name,
                       "weight", (json_int_t)a->weight, "share_permille",
                       (json_int_t)a->share_permille, "entitled_permille",
                       (json_int_t)a->entitled_permille, "over", a->is_over,
                       "running", (json_int_t)a->running, "waiting",
                       (json_int_t)a->waiting));
    }
  return list;
}

/* The section about the workers' speeds.  */
static json_t *
speeds (const struct sj_counts *n)
{
  return json_pack (
      "{s:b,s:i,s:i,s:i,s:i,s:I,s:I}", "uneven", n->speeds_uneven, "fast",
      n->fast_workers, "medium", n->medium_workers, "slow", n->slow_workers,
      "unknown", n->unknown_workers, "slow_runs_kept",
      (json_int_t)n->slow_kept, "fast_waits", (json_int_t)n->fast_waits);
}

json_t *
sh_status (const struct batch *b)
{
  struct sj_counts n = { 0 };
  json_t *caution;
  json_t *o = json_pack (
      "{s:s,s:s,s:I,s:s,s:I,s:I,s:I,s:s,s:I}", "vm", b->settings->vm, "phase",
      phase_name (b->phase), "epoch", (json_int_t)b->lease.epoch, "scheduler",
      b->lease.holder_vm, "config_version",
      (json_int_t)(b->config ? b->config->version : 0), "config_age_ms",
      age_ms (b, b->config_follower.fresh_ms), "jobs_age_ms",
      age_ms (b, b->job_follower.fresh_ms), "store",
      b->store_down ? "down" : "up", "store_heard_ms",
      age_ms (b, b->store_heard_ms));

  if (b->cluster)
    sj_count (b->cluster, &n);
  json_object_set_new (o, "jobs",
                       json_integer (g_hash_table_size (b->view.jobs)));
  json_object_set_new (o, "in_progress", json_integer (b->pending->len));
  add_access (o, b);
  json_object_set_new (o, "closed_domains", closed_domains (b));
  caution = ca_write (&b->lease.caution);
  if (caution)
    json_object_set_new (o, "caution", caution);
  if (b->phase != BA_ACTIVE)
    return o;
  json_object_set_new (o, "open_jobs", json_integer (n.jobs));
  json_object_set_new (o, "waiting", json_integer (n.waiting));
  json_object_set_new (o, "runs", json_integer (n.runs));
  json_object_set_new (o, "workers", json_integer (n.usable_workers));
  json_object_set_new (o, "accelerators", json_integer (n.accelerators));
  json_object_set_new (o, "accelerators_used",
                       json_integer (n.accelerators_used));
  if (b->settings->speed_aware)
    json_object_set_new (o, "speeds", speeds (&n));
  json_object_set_new (o, "headroom", json_integer (n.headroom_kept));
  json_object_set_new (o, "headroom_used", json_integer (n.headroom_used));
  json_object_set_new (o, "preemptions", json_integer (n.preemptions));
  json_object_set_new (o, "stopped_runs", json_integer (n.stopped_runs));
  json_object_set_new (o, "lost_core_ms", json_integer (n.lost_core_ms));
  if (b->settings->fair_share)
    json_object_set_new (o, "accounts", list_accounts (b));
  return o;
}

json_t *
sh_job (const struct batch *b, const char *id)
{
  const struct vw_job *j = vw_find (&b->view, id);

  if (!j || !j->version)
    return NULL;
  return json_pack ("{s:s,s:s,s:s,s:s,s:s,s:b,s:I,s:I}", "vm", b->settings->vm,
                    "id", j->id, "queue", j->queue ? j->queue : "", "account",
                    j->account ? j->account : "", "state",
                    sj_state_name (j->state), "cancel_wanted", j->cancelled,
                    "row_version", (json_int_t)j->version, "jobs_age_ms",
                    age_ms (b, b->job_follower.fresh_ms));
}

/* Resumes the job that PATH, behind the prefix, names.  Returns the answer, or
   NULL if that is not to be done here.  */
static json_t *
resume (struct batch *b, const char *path)
{
  char id[SJ_ID_SIZE];

  if (strlen (path) != SJ_ID_SIZE - 1 + strlen (resume_suffix)
      || !g_str_has_suffix (path, resume_suffix))
    return NULL;
  g_strlcpy (id, path, sizeof id);
  if (!te_resume (b, id))
    return NULL;
  return json_pack ("{s:s,s:s}", "vm", b->settings->vm, "resumed", id);
}

void
sh_answer (struct batch *b, struct hs_exchange *ex)
{
  const char *path = hs_get_request (ex)->path;
  int is_post = !strcmp (hs_get_request (ex)->method, "POST");
  struct hs_answer a = { .status = OK, .content_type = "application/json" };
  json_t *o = NULL;
  char *text;

  if (is_post && g_str_has_prefix (path, jobs_path))
    o = resume (b, path + sizeof jobs_path - 1);
  else if (is_post)
    o = NULL;
  else if (!strcmp (path, status_path))
    o = sh_status (b);
  else if (g_str_has_prefix (path, jobs_path))
    o = sh_job (b, path + sizeof jobs_path - 1);
  text = o ? json_dumps (o, JSON_COMPACT) : NULL;
  a.status = text ? OK : NOT_FOUND;
  a.body = text ? text : "{\"error\":\"not known here\"}";
  hs_answer (ex, &a);
  free (text);
  json_decref (o);
}

/* Runs on the HTTP server's thread.  */
void
sh_handle (void *arg, struct hs_exchange *ex)
{
  struct batch *b = arg;
  struct ba_event *e;

  if (!g_str_has_prefix (hs_get_request (ex)->path, "/v1/"))
    {
      fr_metrics (arg, ex);
      return;
    }
  e = g_new (struct ba_event, 1);
  e->kind = BA_STATUS_REQUEST;
  e->u.request = ex;
  ba_push (b, e);
}
