#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "load.h"

static void
index_requests (struct ld *ld, GHashTable *by_key)
{
  for (int i = 0; i < ld->request_count; i++)
    g_hash_table_insert (by_key, ld->requests[i].key, &ld->requests[i]);
}

/* Returns whether ENTRY ended with a checkpoint, after which a task may start
   again even if its job is not repeatable.  */
static int
may_start_again (json_t *entry)
{
  const char *outcome = json_string_value (json_object_get (entry, "outcome"));

  return outcome && !strcmp (outcome, "checkpointed");
}

static void
apply_entry (GHashTable *by_key, GHashTable *tasks, json_t *entry)
{
  const char *tag = json_string_value (json_object_get (entry, "tag"));
  struct ld_request *r = tag ? g_hash_table_lookup (by_key, tag) : NULL;
  char *name;

  if (!r)
    return;
  r->starts++;
  /* The request is reported as not run or not sent although it ran, or it
     had started before its last refusal.  */
  if (r->end == LD_NOT_RUN || r->end == LD_UNSENT
      || json_integer_value (json_object_get (entry, "start"))
             < r->refused_wall_ms)
    r->false_refusal = 1;
  if (r->repeatable)
    return;
  if (!r->is_job)
    {
      r->duplicate_starts += r->starts > 1;
      return;
    }
  name = g_strdup_printf (
      "%s/%lld", tag,
      (long long)json_integer_value (json_object_get (entry, "task")));
  if (g_hash_table_contains (tasks, name) && !may_start_again (entry))
    r->duplicate_starts++;
  if (may_start_again (entry))
    g_free (name);
  else
    g_hash_table_add (tasks, name);
}

static void
apply_entries (GHashTable *by_key, GHashTable *tasks, json_t *entries)
{
  json_t *entry;
  size_t i;

  json_array_foreach (entries, i, entry)
  {
    apply_entry (by_key, tasks, entry);
  }
}

static json_t *
fetch_journal (struct ld *ld, const char *url)
{
  char *full = g_strdup_printf ("%s/v1/admin/journal", url);
  char *buf = g_malloc (HC_MAX_BODY);
  struct hc_request request
      = { .method = "GET", .url = full, .timeout_ms = 10000 };
  struct hc_answer answer;
  json_t *entries = NULL;

  if (hc_call (ld->client, &request, &answer, buf, HC_MAX_BODY) == HC_OK
      && answer.outcome == HC_ANSWERED && answer.status == 200)
    {
      json_t *body = json_loads (buf, 0, NULL);

      entries = json_incref (json_object_get (body, "entries"));
      json_decref (body);
    }
  g_free (buf);
  g_free (full);
  return entries;
}

/* Reads a journal file, which has one line for each start and one for its end,
   and merges them into one entry.  Returns NULL if it cannot be opened.  */
static json_t *
read_journal_file (const char *path)
{
  FILE *file = fopen (path, "r");
  json_t *entries, *last = NULL, *line;
  size_t position;

  if (!file)
    return NULL;
  entries = json_array ();
  while ((line = json_loadf (file, JSON_DISABLE_EOF_CHECK, NULL)))
    {
      int found = 0;

      for (position = json_array_size (entries);
           json_object_get (line, "end") && position > 0 && !found; position--)
        {
          last = json_array_get (entries, position - 1);
          found = json_equal (json_object_get (last, "number"),
                              json_object_get (line, "number"));
        }
      if (found)
        json_object_update (last, line);
      else
        json_array_append (entries, line);
      json_decref (line);
    }
  fclose (file);
  return entries;
}

static int
read_journals (struct ld *ld, int *read)
{
  GHashTable *by_key = g_hash_table_new (g_str_hash, g_str_equal);
  GHashTable *tasks
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  char **list = g_strsplit (ld->settings.journals, ",", -1);
  int error = LD_OK;

  index_requests (ld, by_key);
  for (int i = 0; list[i]; i++)
    {
      json_t *entries = g_str_has_prefix (list[i], "http://")
                            ? fetch_journal (ld, list[i])
                            : read_journal_file (list[i]);

      if (!entries)
        {
          fprintf (stderr, "skr-load: cannot read journal %s\n", list[i]);
          error = LD_EJOURNAL;
        }
      *read += entries != NULL;
      apply_entries (by_key, tasks, entries);
      json_decref (entries);
    }
  g_strfreev (list);
  g_hash_table_destroy (tasks);
  g_hash_table_destroy (by_key);
  return error;
}

static void
count_request (const struct ld_request *r, int journals,
               struct ld_counters *count)
{
  count->sent++;
  count->ends[r->end]++;
  count->duplicated += r->duplicate_starts > 0;
  count->wrong_answers += r->digest_check == LD_DIGEST_BAD;
  count->false_refusals += r->false_refusal;
  count->unknown_ran += r->end == LD_UNKNOWN && r->starts > 0;
  /* A request is lost if it was accepted but never ended, or if it was
     reported as done but no journal has a start of it.  */
  count->lost += r->end == LD_ACCEPTED || r->end == LD_OPEN
                 || (r->end == LD_DONE && journals && !r->starts);
}

int
ld_count_ends (struct ld *ld, struct ld_counters *count)
{
  int error;

  memset (count, 0, sizeof *count);
  error = read_journals (ld, &count->journals);
  for (int i = 0; i < ld->request_count; i++)
    count_request (&ld->requests[i], count->journals, count);
  return error;
}
