/* Drawn runs at the settings of deploy/batch.conf.  Guards against faults that
   only show with them: reads of a task, worker or record in a state that the
   estimates do not expect.  SEED and COUNT in the environment choose others;
   check_deployed.sh runs this under sanitizers.  */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "steps/fake_cluster.h"
#include "steps/fake_settings.h"
#include "suite.h"

enum
{
  WORKERS = 12,
  PER_RACK = 3,
  JOBS = 70,
  GUARANTEED = 32,        /* accelerators of account a */
  MAX_GAP_MS = 700,       /* between two events */
  FOR_EVER_MS = 10000000, /* of a task that lasts */
  HEALING_MS = 300000,    /* until all jobs must have ended */
  PIECES_TASKS = 40       /* of a job whose record is in pieces */
};

static struct fa_cluster cluster;
static int64_t notes;  /* of all kinds */
static unsigned parts; /* that the scheduler may use */
static char left_alone[SJ_ID_SIZE];

static int
draw (int n)
{
  return g_rand_int_range (cluster.rand, 0, n);
}

static void
on_note (void *arg, const struct sj_note *note)
{
  (void)arg;
  notes += note->kind >= 0;
}

static void
take_over (void)
{
  fa_take_over (&cluster);
  sj_set_guarantee (cluster.scheduler, "a", GUARANTEED);
  sj_set_note_fn (cluster.scheduler, on_note, NULL);
  sj_set_parts (cluster.scheduler, parts);
}

/* A further holder leaves a job alone.  */
static void
leave_alone (unsigned number)
{
  snprintf (left_alone, sizeof left_alone, "%016x", number);
  cluster.left_alone = left_alone;
  take_over ();
}

static void
add_second_step (struct sj_job *job)
{
  job->step_count = 2;
  job->step[1] = job->step[0];
  job->step[1].depends_on = 1;
  job->step[1].gang = draw (2);
}

static struct sj_job *
draw_job (unsigned number)
{
  static const int gpus[] = { 1, 1, 2, 4, 8, 8 };
  struct sj_job *job = fa_new_job (number, draw (3), 1 + draw (8),
                                   gpus[draw (6)], 300 + draw (5000));
  struct sj_step *s = &job->step[0];

  s->gang = draw (3) > 0;
  s->checkpoints = draw (2);
  s->one_rack = draw (4) == 0;
  job->max_attempts = 6;
  job->account[0] = (char)('a' + draw (4));
  switch (draw (12))
    {
    case 0:
    case 1:
      add_second_step (job);
      break;
    case 2:
      job->occurrences = 1 + draw (4);
      job->first_due_ms = cluster.now + draw (3000);
      job->interval_ms = 500 + draw (3000);
      break;
    case 3:
      s->is_continuous = 1;
      s->gang = s->checkpoints = 0;
      s->need.accelerators = 1;
      s->estimate_ms = FOR_EVER_MS;
      break;
    case 4:
      s->count = PIECES_TASKS;
      s->need = (struct sj_resources){ 1000, 1000, 0 };
      s->gang = draw (2);
      break;
    default:
      break;
    }
  return job;
}

static void
cancel (unsigned number)
{
  char id[SJ_ID_SIZE];

  snprintf (id, sizeof id, "%016x", number);
  fa_cancel (&cluster, id);
}

/* A worker leaves as planned; one that is leaving goes, and comes back as a
   new incarnation.  */
static void
drain (struct fa_worker *w, int i)
{
  if (!w->draining)
    {
      w->draining = 1;
      return;
    }
  w->draining = 0;
  fa_lose (&cluster, i);
}

static void
set_domain (int number, int closed)
{
  const char *name = number ? "z1" : "z0";
  int is_closed = dm_find (&cluster.domains, name) != NULL;

  if (closed && !is_closed)
    fa_close_domain (&cluster, name);
  else if (!closed && is_closed)
    fa_reopen_domain (&cluster, name);
}

static void
disturb (unsigned jobs)
{
  int i = draw (WORKERS);
  struct fa_worker *w = &cluster.worker[i];
  int is_sound = w->is_up && !w->partitioned;

  switch (draw (30))
    {
    case 0:
    case 1:
      take_over ();
      break;
    case 2:
      if (is_sound)
        fa_crash (&cluster, i);
      break;
    case 3:
      if (is_sound)
        fa_lose (&cluster, i);
      break;
    case 4:
      w->partitioned = w->is_up;
      break;
    case 5:
    case 6:
      w->partitioned = 0;
      break;
    case 7:
      w->stalled = !w->stalled;
      break;
    case 8:
    case 9:
      w->ignores_stops = !w->ignores_stops;
      break;
    case 10:
      w->refuses = !w->refuses;
      break;
    case 11:
      w->speed = 0.3 + draw (10) / 10.0;
      break;
    case 12:
      fa_set_capacity (&cluster, i, 8 >> draw (3));
      break;
    case 13:
      if (is_sound)
        drain (w, i);
      break;
    case 14:
      cancel (1 + (unsigned)draw ((int)jobs));
      break;
    case 15:
      cluster.commit_ms = draw (4) ? 10 : 1500;
      break;
    case 16:
      parts = (unsigned)draw (SJ_ALL_PARTS + 1);
      sj_set_parts (cluster.scheduler, parts);
      break;
    case 17:
      leave_alone (1 + (unsigned)draw ((int)jobs));
      break;
    case 18:
      cluster.left_alone = NULL;
      take_over ();
      break;
    case 19:
      set_domain (draw (2), 1);
      break;
    case 20:
    case 21:
      set_domain (draw (2), 0);
      break;
    default:
      break;
    }
}

/* Ends all trouble, and the jobs that would run until they are cancelled.  */
static void
heal (void)
{
  GHashTableIter iter;
  gpointer id, job;

  cluster.faults = (struct fa_faults){ 0 };
  cluster.commit_ms = 10;
  cluster.left_alone = NULL;
  set_domain (0, 0);
  set_domain (1, 0);
  parts = SJ_ALL_PARTS;
  take_over ();
  for (int i = 0; i < WORKERS; i++)
    {
      struct fa_worker *w = &cluster.worker[i];

      w->partitioned = w->stalled = w->ignores_stops = w->refuses = 0;
      w->draining = 0;
      w->speed = 1;
      fa_set_capacity (&cluster, i, 8);
    }
  g_hash_table_iter_init (&iter, cluster.jobs);
  while (g_hash_table_iter_next (&iter, &id, &job))
    if (((const struct sj_job *)job)->step[0].is_continuous)
      fa_cancel (&cluster, id);
}

static int
count_open_jobs (void)
{
  char id[SJ_ID_SIZE];
  int open = 0;

  for (unsigned i = 1; i <= JOBS; i++)
    {
      snprintf (id, sizeof id, "%016x", i);
      open += fa_state (&cluster, id) < SJ_COMPLETED;
    }
  return open;
}

static void
begin (unsigned seed, int variant)
{
  fa_init (&cluster, WORKERS, PER_RACK, seed);
  parts = seed % 16 == 3 ? 0 : SJ_ALL_PARTS;
  fe_set (&cluster.settings, variant);
  cluster.settings.max_record_bytes = 65536;
  cluster.checkpoint_interval_ms = 1000;
  cluster.crash_mode.new_id = (int)(seed % 2);
  cluster.crash_mode.down_ms = 500 + draw (12000);
  cluster.commit_rows = variant == FE_PIECES ? 1 + draw (4) : 0;
  cluster.run_scatter = draw (2) ? 0.25 : 0;
  cluster.faults = (struct fa_faults){
    .answer_lost = .05, .delayed = .08, .commit_fails = .05, .task_fails = .03
  };
  for (int i = 0; i < WORKERS; i++)
    cluster.worker[i].speed = i % 4 ? 1.2 : 0.55;
  take_over ();
}

static void
play (unsigned seed, int variant)
{
  int open;

  begin (seed, variant);
  for (unsigned number = 1; number <= JOBS; number++)
    {
      fa_submit (&cluster, draw_job (number));
      fa_run_ms (&cluster, 20 + draw (MAX_GAP_MS));
      disturb (number);
    }
  heal ();
  fa_run_ms (&cluster, HEALING_MS);
  open = count_open_jobs ();
  if (cluster.violations || open)
    printf ("\nseed %u, settings %s: %d violations, first: %s; %d jobs open\n",
            seed, fe_name (variant), cluster.violations,
            cluster.first_violation, open);
  CU_ASSERT_EQUAL (cluster.violations, 0);
  CU_ASSERT_EQUAL (open, 0);
  fa_fini (&cluster);
}

/* Every second seed has the deployed settings, the others a variant.  */
static void
test_drawn_runs (void)
{
  unsigned first = fa_env ("SEED", 1);
  unsigned count = fa_env ("COUNT", 16);

  for (unsigned seed = first; seed < first + count; seed++)
    play (seed, seed % 2 ? FE_DEPLOYED : (int)(seed / 2 % FE_VARIANTS));
  /* A gang in pieces, all of whose tasks had ended, was never started
     again.  */
  play (2482, FE_PIECES);
  CU_ASSERT (notes > 0);
}

/* Whether drawn runs need not know setting NAME of skr-batch, which does not
   reach the scheduler of src/steps or which fake_cluster.c sets.  */
static int
is_elsewhere (const char *name)
{
  static const char *const names[]
      = { "vm",           "listen",         "ready-listen",
          "store",        "metrics-listen", "relay-listen",
          "hold-ms",      "far-factor",     "revoke-ms",
          "grace-ms",     "processor",      "refuse-stalled-writes",
          "evacuation-ms" };

  for (size_t i = 0; i < sizeof names / sizeof *names; i++)
    if (!strcmp (name, names[i]))
      return 1;
  return 0;
}

/* Guards against a setting of the deployment that no drawn run has.  */
static void
test_settings_are_those_deployed (void)
{
  static const char *const lines[]
      = { "speed-aware=1", "headroom-forecast=4", "reclaim-ms={{",
          "stop-ms={{", "checkpoint-interval-s={{" };
  FILE *f = fopen ("deploy/batch.conf", "r");
  char line[200];
  size_t found = 0;

  CU_ASSERT_PTR_NOT_NULL_FATAL (f);
  while (fgets (line, sizeof line, f))
    {
      const char *begin
          = !strncmp (line, "{{#", 3) ? strstr (line, "}}") + 2 : line;
      char name[200];
      size_t i = 0;

      if (sscanf (begin, "%199[^=]=", name) != 1 || is_elsewhere (name))
        continue;
      while (i < sizeof lines / sizeof *lines
             && strncmp (begin, lines[i], strlen (lines[i])) != 0)
        i++;
      if (i == sizeof lines / sizeof *lines)
        {
          printf ("\nunknown to fake_settings.c: %s", line);
          CU_FAIL ("a deployed setting that drawn runs do not have");
        }
      else
        found++;
    }
  fclose (f);
  CU_ASSERT_EQUAL (found, sizeof lines / sizeof *lines);
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    { "settings", test_settings_are_those_deployed },
    { "drawn runs", test_drawn_runs },
    CU_TEST_INFO_NULL,
  };

  return run_suite ("deployed", tests);
}
