#include <jansson.h>
#include <string.h>

#include "batch/end_report.h"
#include "batch/view.h"

static void
free_job (void *job)
{
  struct vw_job *j = job;

  g_free (j->queue);
  g_free (j->account);
  g_free (j);
}

void
vw_init (struct vw_view *v)
{
  v->jobs = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_job);
  wd_init (&v->withdrawals);
}

void
vw_fini (struct vw_view *v)
{
  g_hash_table_destroy (v->jobs);
  wd_fini (&v->withdrawals);
}

const char *
vw_lease_key (void)
{
  return "~lease";
}

enum vw_row
vw_parse_key (const char *key, char id[SJ_ID_SIZE])
{
  size_t n = strlen (key);

  if (!strcmp (key, vw_lease_key ()))
    return VW_LEASE;
  if (!strcmp (key, er_key ()))
    return VW_END;
  if (n < SJ_ID_SIZE - 1)
    return VW_OTHER;
  memcpy (id, key, SJ_ID_SIZE - 1);
  id[SJ_ID_SIZE - 1] = '\0';
  if (n == SJ_ID_SIZE - 1)
    return VW_JOB;
  if (!strcmp (key + SJ_ID_SIZE - 1, ".s"))
    return VW_STATE;
  if (!strcmp (key + SJ_ID_SIZE - 1, ".x"))
    return VW_CANCEL;
  return wd_is_key (key) ? VW_WITHDRAWAL : VW_OTHER;
}

void
vw_make_key (char out[VW_KEY_SIZE], const char *id, enum vw_row kind)
{
  g_strlcpy (out, id, VW_KEY_SIZE);
  if (kind == VW_STATE)
    g_strlcat (out, ".s", VW_KEY_SIZE);
  else if (kind == VW_CANCEL)
    g_strlcat (out, ".x", VW_KEY_SIZE);
}

struct vw_job *
vw_find (const struct vw_view *v, const char *id)
{
  return g_hash_table_lookup (v->jobs, id);
}

int
vw_is_of_account (const struct vw_job *j, const char *account)
{
  return !g_strcmp0 (j->account, account);
}

int
vw_belongs_to (const struct vw_job *j, const char *account)
{
  return !j->account || vw_is_of_account (j, account);
}

static struct vw_job *
find_or_add (struct vw_view *v, const char *id)
{
  struct vw_job *j = vw_find (v, id);

  if (j)
    return j;
  j = g_new0 (struct vw_job, 1);
  g_strlcpy (j->id, id, sizeof j->id);
  g_hash_table_insert (v->jobs, j->id, j);
  return j;
}

static void
apply_job_row (struct vw_job *j, const json_t *o, int64_t version)
{
  const json_t *job = json_object_get (o, "job");

  int known = j->version != 0;

  j->version = version;
  if (known)
    return;
  j->accepted_ms = json_integer_value (json_object_get (o, "accepted"));
  j->queue = g_strdup (json_string_value (json_object_get (job, "queue")));
  j->account = g_strdup (json_string_value (json_object_get (job, "account")));
}

static void
apply_state_row (struct vw_job *j, const json_t *o)
{
  int state
      = sj_state_parse (json_string_value (json_object_get (o, "state")));

  /* Rows may be delivered again; a final state never changes.  */
  if (state < 0 || j->state >= SJ_COMPLETED)
    return;
  j->state = (enum sj_state)state;
  if (j->state >= SJ_COMPLETED)
    j->ended_ms = json_integer_value (json_object_get (o, "at"));
}

struct vw_job *
vw_apply_row (struct vw_view *v, const char *key, const char *value,
              int64_t version, int deleted, int generation)
{
  char id[SJ_ID_SIZE];
  enum vw_row kind = vw_parse_key (key, id);
  struct vw_job *j;
  json_t *o;

  if (kind == VW_WITHDRAWAL)
    wd_apply_row (&v->withdrawals, key, value, version, deleted, generation);
  if (kind != VW_JOB && kind != VW_STATE && kind != VW_CANCEL)
    return NULL;
  if (deleted)
    {
      if (kind == VW_JOB)
        g_hash_table_remove (v->jobs, id);
      return NULL;
    }
  j = find_or_add (v, id);
  j->generation = generation;
  o = json_loads (value, 0, NULL);
  if (kind == VW_JOB)
    apply_job_row (j, o, version);
  else if (kind == VW_STATE)
    apply_state_row (j, o);
  else
    j->cancelled = 1;
  json_decref (o);
  return j;
}

void
vw_remove_unseen (struct vw_view *v, int generation)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, v->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((struct vw_job *)value)->generation != generation)
      g_hash_table_iter_remove (&iter);
  wd_remove_unseen (&v->withdrawals, generation);
}

int
vw_count_waiting (const struct vw_view *v, const char *queue)
{
  GHashTableIter iter;
  gpointer value;
  int n = 0;

  g_hash_table_iter_init (&iter, v->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct vw_job *j = value;

      n += j->version && j->state == SJ_QUEUED && !j->cancelled
           && !g_strcmp0 (j->queue, queue);
    }
  return n;
}

int
vw_expired_jobs (const struct vw_view *v, int64_t before_ms,
                 char (*out)[SJ_ID_SIZE], int max)
{
  GHashTableIter iter;
  gpointer value;
  int n = 0;

  g_hash_table_iter_init (&iter, v->jobs);
  while (n < max && g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct vw_job *j = value;

      if (j->ended_ms && j->ended_ms < before_ms)
        memcpy (out[n++], j->id, SJ_ID_SIZE);
    }
  return n;
}

char *
vw_job_value (const struct sj_job *job, int64_t accepted_ms)
{
  json_t *o = json_pack ("{s:I,s:o}", "accepted", (json_int_t)accepted_ms,
                         "job", sj_job_to_json (job));
  char *text = json_dumps (o, JSON_COMPACT);

  json_decref (o);
  return text;
}

char *
vw_state_value (enum sj_state state, int64_t at_ms)
{
  json_t *o = json_pack ("{s:s,s:I}", "state", sj_state_name (state), "at",
                         (json_int_t)at_ms);
  char *text = json_dumps (o, JSON_COMPACT);

  json_decref (o);
  return text;
}
