#include "batch/term.h"

#include "batch/end_report.h"
#include "skr/crash.h"

static void
log_rules (struct batch *b, const char *reason)
{
  const struct ca_caution *c = &b->lease.caution;
  struct lg_field f[] = { lg_int ("epoch", b->lease.epoch),
                          lg_int ("ends", c->ends),
                          lg_int ("parts", ca_parts (c)),
                          lg_int ("suspended", c->count - c->tried),
                          lg_int ("on_trial", c->tried),
                          lg_int ("calm_ms", ca_calm_ms (c)),
                          lg_str ("reason", reason) };

  lg_log (LG_TERM_RULES, 7, f);
}

static void
log_job (enum lg_event event, const char *id, const char *reason)
{
  struct lg_field f[] = { lg_str ("id", id), lg_str ("reason", reason) };

  lg_log (event, 2, f);
}

/* A crash counts as one of these rules within CA_SHORT_MS from now on.  */
static void
begin_rules (struct batch *b)
{
  const struct ca_caution *c = &b->lease.caution;

  cr_set_term (b->lease.epoch);
  er_begin (b->settings->store, b->lease.token, b->now_ms);
  sj_set_parts (b->cluster, ca_parts (c));
  b->step_ms = c->ends || c->count > 1 ? b->now_ms + ca_calm_ms (c) : 0;
}

void
te_begin (struct batch *b)
{
  const struct ca_caution *c = &b->lease.caution;

  b->reload_wanted = 0;
  b->versions
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  begin_rules (b);
  if (!c->ends && !c->count)
    return;
  log_rules (b, "the term begins");
  for (int i = 0; i < c->count - c->tried; i++)
    log_job (LG_JOB_SUSPENDED, c->suspended[i], "");
}

void
te_end (struct batch *b)
{
  cr_set_term (0);
  er_end ();
  b->step_ms = b->reload_wanted = 0;
}

void
te_note_version (struct batch *b, const char *id, int64_t version)
{
  int64_t *known;

  if (!b->lease.attempt_suspensions)
    return;
  known = g_hash_table_lookup (b->versions, id);
  if (!known)
    {
      known = g_new0 (int64_t, 1);
      g_hash_table_insert (b->versions, g_strdup (id), known);
    }
  *known = MAX (*known, version);
}

/* The open job that changed last and is not suspended, or NULL.  */
static const char *
latest_job (struct batch *b)
{
  const char *latest = NULL;
  int64_t version = 0;
  GHashTableIter iter;
  gpointer id, value;

  g_hash_table_iter_init (&iter, b->versions);
  while (g_hash_table_iter_next (&iter, &id, &value))
    {
      const struct vw_job *j = vw_find (&b->view, id);

      if (*(int64_t *)value <= version || !j || j->state >= SJ_COMPLETED
          || ca_is_suspended (&b->lease.caution, id))
        continue;
      version = *(int64_t *)value;
      latest = id;
    }
  return latest;
}

void
te_suspend_latest (struct batch *b)
{
  int n = b->lease.attempt_suspensions;
  const char *id;

  b->lease.attempt_suspensions = 0;
  while (n-- > 0 && (id = latest_job (b)))
    {
      ca_suspend (&b->lease.caution, id);
      log_job (LG_JOB_SUSPENDED, id, "its record changed last");
    }
}

void
te_reload (struct batch *b)
{
  b->reload_wanted = 1;
}

void
te_tick (struct batch *b)
{
  if (!b->step_ms || b->now_ms < b->step_ms)
    return;
  switch (ca_step (&b->lease.caution))
    {
    case CA_NONE:
      log_rules (b, "all parts are on");
      break;
    case CA_PARTS:
      log_rules (b, "a part returns");
      break;
    case CA_RELOAD:
      log_rules (b, "jobs return on trial");
      te_reload (b);
      break;
    }
  begin_rules (b);
}

int
te_resume (struct batch *b, const char *id)
{
  if (b->phase == BA_STANDBY || !ca_resume (&b->lease.caution, id))
    return 0;
  log_job (LG_JOB_RESUMED, id, "by an operator");
  te_reload (b);
  return 1;
}
