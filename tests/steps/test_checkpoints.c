/* A checkpoint comes back to a worker byte for byte, over the stored record
   and a take-over, or the task keeps its last one.  */
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "platform/names.h"
#include "skr/steps.h"
#include "suite.h"

enum
{
  LIMIT = 4000, /* bytes of a checkpoint, as documented */
  PLAYS = 400,
  MEMBERS = 2,
  MANY = 20, /* tasks whose checkpoints do not fit a row together */
  ROW_BYTES = 65536,
  START_MS = 100000,
  LEASE_MS = 6000
};

static const struct sj_settings settings = { .off_rack_factor = 3,
                                             .silent_timeout_ms = LEASE_MS,
                                             .max_record_bytes = ROW_BYTES };
static struct sj_cluster *cluster;
static int64_t now;
/* Starts ordered by the cluster, and what they carry.  */
static struct sj_run started[MANY];
static char *carried[MANY];
static int starts, notes;

static void
on_order (void *arg, const struct sj_order *o)
{
  (void)arg;
  if (o->kind != SJ_START || starts == MANY)
    return;
  started[starts] = o->run;
  g_free (carried[starts]);
  carried[starts++] = g_strdup (o->checkpoint);
}

static void
on_note (void *arg, const struct sj_note *note)
{
  (void)arg;
  notes += note->kind == SJ_NOTE_CHECKPOINT;
}

static void
list_runs (const struct sj_listing *l)
{
  struct sj_listing copy = *l;

  copy.requested_ms = ++now;
  sj_listing_apply (cluster, "w", &copy, now);
}

/* A job of COUNT tasks, which are a GANG or not, on one worker.  */
static void
new_cluster (int count, int gang, const json_t *record)
{
  struct sj_worker_info info = { .id = "w",
                                 .incarnation = 1,
                                 .service = "s",
                                 .capacity = { 64000, 65536, 8 },
                                 .version = 1 };
  struct sj_job *job = g_new0 (struct sj_job, 1);

  cluster = sj_new (&settings, on_order, NULL);
  sj_set_note_fn (cluster, on_note, NULL);
  g_strlcpy (job->id, "0000000000000001", sizeof job->id);
  job->queue = g_strdup ("q");
  job->account = g_strdup ("a");
  job->service = g_strdup ("s");
  job->payload = g_strdup ("p");
  job->max_attempts = 3;
  job->stretch = 1;
  job->step_count = 1;
  job->step = g_new0 (struct sj_step, 1);
  job->step[0] = (struct sj_step){ .count = count,
                                   .need = { 1000, 1024, 0 },
                                   .estimate_ms = 10000,
                                   .gang = gang,
                                   .checkpoints = 1 };
  sj_worker_set (cluster, &info, now);
  sj_worker_set_lease (cluster, "w", now + LEASE_MS);
  CU_ASSERT_EQUAL (sj_job_add (cluster, job, record, 0, now), SJ_OK);
}

/* Decides and stores the job's record, which is returned as the store gives it
   back.  */
static json_t *
commit (void)
{
  struct sj_dirty dirty;
  char *text, *row, *value;
  json_t *record;

  now += 1000;
  sj_decide (cluster, now, now);
  if (sj_dirty (cluster, &dirty, 1) != 1)
    return NULL;
  text = json_dumps (dirty.record, JSON_COMPACT);
  row = pf_encode_value (text);
  value = pf_decode_value (row);
  record = json_loads (value, 0, NULL);
  sj_committed (cluster, 1, now);
  json_decref (dirty.record);
  free (text);
  g_free (row);
  g_free (value);
  return record;
}

/* Starts the gang and lists its runs with CHECKPOINT, stores the record, lets
   another holder take over, ends the runs as stopped, and starts them again.
   Returns the checkpoint that both starts carry, or NULL.  */
static const char *
play (const char *before, const char *checkpoint)
{
  struct sj_listed_run run[MEMBERS], end[MEMBERS];
  struct sj_listing running = { .run_count = MEMBERS, .runs = run };
  struct sj_listing ended = { .end_count = MEMBERS, .ends = end };
  struct sj_listing empty = { .run_count = 0 };
  json_t *record;

  now = START_MS;
  starts = notes = 0;
  new_cluster (MEMBERS, 1, NULL);
  list_runs (&empty);
  json_decref (commit ());
  CU_ASSERT_EQUAL (starts, MEMBERS);
  for (int i = 0; i < MEMBERS; i++)
    {
      sj_start_answered (cluster, "w", &started[i], SJ_EXECUTED, now);
      run[i] = (struct sj_listed_run){ .run = started[i],
                                       .checkpoint = before,
                                       .percent = 1 };
      end[i] = (struct sj_listed_run){ .run = started[i],
                                       .checkpoint = "",
                                       .end = SJ_END_LEASE_EXPIRED };
    }
  list_runs (&running);
  run[0].checkpoint = run[1].checkpoint = checkpoint;
  list_runs (&running);
  list_runs (&running);
  /* A failed start of another member makes the record change.  */
  list_runs (&(struct sj_listing){
      .run_count = 1, .runs = &run[1], .end_count = 1, .ends = &end[0] });
  record = commit ();
  CU_ASSERT_PTR_NOT_NULL_FATAL (record);
  sj_free (cluster);
  starts = 0;
  new_cluster (MEMBERS, 1, record);
  json_decref (record);
  list_runs (&ended);
  json_decref (commit ());
  json_decref (commit ());
  sj_free (cluster);
  CU_ASSERT_EQUAL (starts, MEMBERS);
  if (starts < MEMBERS || strcmp (carried[0], carried[1]) != 0)
    return NULL;
  return carried[0];
}

/* Random text of up to SIZE bytes in UTF-8: all planes, controls, quotes.  */
static char *
random_text (GRand *r, size_t size)
{
  static const gint32 last[] = { 0x7f, 0x7ff, 0xffff, 0x10ffff };
  GString *s = g_string_new ("");
  int kind = g_rand_int_range (r, 0, 4);

  for (;;)
    {
      gunichar c = (gunichar)g_rand_int_range (r, 1, last[kind] + 1);
      char utf8[6];
      int n = g_unichar_to_utf8 (c, utf8);

      if (c >= 0xd800 && c <= 0xdfff)
        continue;
      if (s->len + (size_t)n > size)
        return g_string_free (s, FALSE);
      g_string_append_len (s, utf8, n);
    }
}

/* Guards against a checkpoint that is cut, and a task that is missing from the
   stored record because of its checkpoint.  */
static void
test_any_text_comes_back (void)
{
  GRand *r = g_rand_new_with_seed (3);

  for (int i = 0; i < PLAYS; i++)
    {
      char *text = random_text (r, (size_t)g_rand_int_range (r, 8, LIMIT + 1));
      const char *back = play ("before", text);

      if (g_strcmp0 (back, text))
        printf ("\nplay %d, %zu bytes\n", i, strlen (text));
      CU_ASSERT (!g_strcmp0 (back, text));
      CU_ASSERT_EQUAL (notes, 0);
      g_free (text);
    }
  g_rand_free (r);
}

/* Guards against a checkpoint that can't be kept and is altered, or takes the
   last one away, or is not logged.  */
static void
test_what_cannot_be_kept_is_refused (void)
{
  char *longest = g_strnfill (LIMIT, 'x'),
       *longer = g_strnfill (LIMIT + 1, 'x');
  const char *back = play ("before", longest);

  CU_ASSERT (!g_strcmp0 (back, longest));
  CU_ASSERT_EQUAL (notes, 0);
  back = play ("before", longer);
  CU_ASSERT (!g_strcmp0 (back, "before"));
  CU_ASSERT_EQUAL (notes, 1);
  back = play ("before", NULL);
  CU_ASSERT (!g_strcmp0 (back, "before"));
  CU_ASSERT_EQUAL (notes, 1);
  back = play ("before", "");
  CU_ASSERT (!g_strcmp0 (back, "before"));
  CU_ASSERT_EQUAL (notes, 0);
  g_free (longest);
  g_free (longer);
}

/* Lists the MANY runs that were started, as running with CHECKPOINT or, if it
   is NULL, as ended with their leases.  */
static void
list_many (const char *checkpoint)
{
  struct sj_listed_run run[MANY];
  struct sj_listing l = { .runs = run, .ends = run };

  for (int i = 0; i < MANY; i++)
    {
      sj_start_answered (cluster, "w", &started[i], SJ_EXECUTED, now);
      run[i]
          = (struct sj_listed_run){ .run = started[i],
                                    .checkpoint = checkpoint ? checkpoint : "",
                                    .end = SJ_END_LEASE_EXPIRED };
    }
  *(checkpoint ? &l.run_count : &l.end_count) = MANY;
  list_runs (&l);
}

/* Stores the job's record, which has to fit a row, until it does not change
   any more.  Returns the last one.  */
static json_t *
commit_all (void)
{
  json_t *last = NULL, *next;

  while ((next = commit ()))
    {
      CU_ASSERT (json_dumpb (next, NULL, 0, JSON_COMPACT) <= ROW_BYTES);
      json_decref (last);
      last = next;
    }
  CU_ASSERT_PTR_NOT_NULL_FATAL (last);
  return last;
}

/* Guards against a job that is set aside for good, as the checkpoints of its
   tasks make its record larger than a row once their runs have ended.  */
static void
test_record_with_many_long_checkpoints_fits (void)
{
  struct sj_listing empty = { .run_count = 0 };
  char *text = g_strnfill (LIMIT, '"');
  json_t *record;

  now = START_MS;
  starts = 0;
  new_cluster (MANY, 0, NULL);
  list_runs (&empty);
  json_decref (commit_all ());
  CU_ASSERT_EQUAL (starts, MANY);
  list_many (text);
  list_many (NULL);
  starts = 0;
  record = commit_all ();
  /* This holder has what the record does not hold.  */
  CU_ASSERT_EQUAL (starts, MANY);
  for (int i = 0; i < MANY; i++)
    CU_ASSERT (!g_strcmp0 (carried[i], text));
  sj_free (cluster);
  /* The next one has none, and never another task's or a part of one.  */
  new_cluster (MANY, 0, record);
  json_decref (record);
  starts = 0;
  list_many (NULL);
  json_decref (commit_all ());
  CU_ASSERT_EQUAL (starts, MANY);
  for (int i = 0; i < MANY; i++)
    CU_ASSERT (!*carried[i] || !g_strcmp0 (carried[i], text));
  sj_free (cluster);
  g_free (text);
}

int
main (void)
{
  CU_TestInfo tests[] = {
    { "any text", test_any_text_comes_back },
    { "not kept", test_what_cannot_be_kept_is_refused },
    { "many", test_record_with_many_long_checkpoints_fits },
    CU_TEST_INFO_NULL,
  };

  return run_suite ("checkpoints", tests);
}
