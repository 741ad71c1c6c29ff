/* Replication of the VM list among the daemons of a failure domain, simulated
   on a fake clock.  Messages are lost, delayed and duplicated, and readers
   stop.  Guards against lists that stay different from the platform's and
   against several daemons that keep reading it.  */
#include <gsl/gsl_rng.h>
#include <stdio.h>
#include <string.h>

#include "skr/vms.h"
#include "suite.h"

enum
{
  DAEMONS = 5, /* the last is a scheduler */
  LINES = 40,
  STEP_MS = 100,
  CONVERGE_MS = 3000, /* a leaving VM gets no new work after this */
  MAX_DELAY_MS = 300,
  MAX_IN_FLIGHT = 4096
};

static const char *const names[DAEMONS] = { "e1", "e2", "e3", "e4", "s1" };

struct delayed_message
{
  struct pr_vms message;
  int64_t at_ms;
  int to;
};

static struct
{
  struct vl_follow f[DAEMONS];
  int is_silent[DAEMONS]; /* neither reads, sends nor receives */
  int reads[DAEMONS];
  json_t *platform; /* array */
  int lost_percent, duplicated_percent, max_delay_ms;
  struct delayed_message *in_flight[MAX_IN_FLIGHT];
  int in_flight_count;
  int64_t now;
  gsl_rng *rng;
} sim;

static json_t *
line (int i, const char *state)
{
  char id[16];

  snprintf (id, sizeof id, "w%03d", i);
  return json_pack ("{s:s,s:s,s:s,s:s,s:s,s:s,s:i,s:i,s:i}", "id", id, "role",
                    "worker", "address", "127.0.0.1:1", "rack", "r1", "domain",
                    "d1", "state", state, "accelerators", 8, "slots", 8,
                    "connections", 60);
}

static void
begin (unsigned long seed, int lines)
{
  memset (&sim, 0, sizeof sim);
  sim.rng = gsl_rng_alloc (gsl_rng_taus2);
  gsl_rng_set (sim.rng, seed);
  sim.platform = json_array ();
  for (int i = 0; i < lines; i++)
    json_array_append_new (sim.platform, line (i, "live"));
  for (int d = 0; d < DAEMONS; d++)
    vl_init (&sim.f[d], names[d], "d1", d < DAEMONS - 1, 100 + d);
}

static void
end (void)
{
  for (int d = 0; d < DAEMONS; d++)
    vl_fini (&sim.f[d]);
  for (int i = 0; i < sim.in_flight_count; i++)
    g_free (sim.in_flight[i]);
  json_decref (sim.platform);
  gsl_rng_free (sim.rng);
}

static int
happens (int percent)
{
  return (int)gsl_rng_uniform_int (sim.rng, 100) < percent;
}

static void
send (int to, const struct pr_vms *message)
{
  struct delayed_message *x;

  if (happens (sim.lost_percent) || sim.in_flight_count == MAX_IN_FLIGHT)
    return;
  x = g_new (struct delayed_message, 1);
  x->message = *message;
  x->to = to;
  x->at_ms = sim.now;
  if (sim.max_delay_ms)
    x->at_ms
        += (int64_t)gsl_rng_uniform_int (sim.rng, (unsigned)sim.max_delay_ms);
  sim.in_flight[sim.in_flight_count++] = x;
}

static void
read_and_publish (int d)
{
  struct pr_vms *message = g_new (struct pr_vms, 1);
  guint at = 0;

  vl_begin_read (&sim.f[d], sim.now);
  sim.reads[d]++;
  vl_finish_read (&sim.f[d], sim.now, sim.platform);
  while (vl_next_message (&sim.f[d], sim.now, &at, message))
    for (int to = 0; to < DAEMONS; to++)
      for (int n = happens (sim.duplicated_percent); to != d && n >= 0; n--)
        send (to, message);
  g_free (message);
}

static void
heartbeats (void)
{
  struct pr_heartbeat *h = g_new0 (struct pr_heartbeat, 1);

  h->role = PR_ENTRY;
  g_strlcpy (h->domain, "d1", sizeof h->domain);
  for (int d = 0; d < DAEMONS - 1; d++)
    for (int to = 0; to < DAEMONS; to++)
      {
        g_strlcpy (h->vm, names[d], sizeof h->vm);
        if (!sim.is_silent[d] && !happens (sim.lost_percent))
          vl_on_heartbeat (&sim.f[to], sim.now, h);
      }
  g_free (h);
}

static void
deliver (void)
{
  for (int i = 0; i < sim.in_flight_count;)
    {
      struct delayed_message *x = sim.in_flight[i];

      if (x->at_ms > sim.now)
        {
          i++;
          continue;
        }
      if (!sim.is_silent[x->to])
        vl_on_message (&sim.f[x->to], sim.now, &x->message);
      g_free (x);
      sim.in_flight[i] = sim.in_flight[--sim.in_flight_count];
    }
}

static void
run (int64_t ms)
{
  for (int64_t until = sim.now + ms; sim.now < until; sim.now += STEP_MS)
    {
      if (sim.now % 1000 == 0)
        heartbeats ();
      deliver ();
      for (int d = 0; d < DAEMONS; d++)
        if (!sim.is_silent[d]
            && vl_read_is_due (&sim.f[d], sim.now,
                               sim.now % VL_READ_INTERVAL_MS == 0))
          read_and_publish (d);
    }
}

static int
same_as_platform (int d)
{
  struct vl_list list;
  const json_t *o;
  size_t i;
  int same;

  vl_list_init (&list);
  json_array_foreach (sim.platform, i, o)
  {
    struct pr_vm vm;

    vl_read_line (&vm, o);
    vl_list_set (&list, &vm);
  }
  same = list.digest == sim.f[d].list.digest
         && g_tree_nnodes (list.line) == g_tree_nnodes (sim.f[d].list.line);
  vl_list_fini (&list);
  return same;
}

static int
all_same (void)
{
  int same = 0;

  for (int d = 0; d < DAEMONS; d++)
    same += sim.is_silent[d] || same_as_platform (d);
  return same == DAEMONS;
}

static int
total_reads (void)
{
  int n = 0;

  for (int d = 0; d < DAEMONS; d++)
    n += sim.reads[d];
  return n;
}

/* Returns the daemon with the most reads since the counters were cleared, and
   clears them if CLEAR.  */
static int
most_frequent_reader (int clear)
{
  int best = 0;

  for (int d = 1; d < DAEMONS; d++)
    if (sim.reads[d] > sim.reads[best])
      best = d;
  if (clear)
    memset (sim.reads, 0, sizeof sim.reads);
  return best;
}

static void
test_lines (void)
{
  struct vl_list a, b;
  struct pr_vm vm[2];
  json_t *o = line (1, "leaving"), *all;

  vl_list_init (&a);
  vl_list_init (&b);
  CU_ASSERT (vl_read_line (&vm[0], o));
  CU_ASSERT_EQUAL (vm[0].state, PR_VM_LEAVING);
  vm[1] = vm[0];
  g_strlcpy (vm[1].id, "other", PR_ID_SIZE);
  CU_ASSERT (vl_list_set (&a, &vm[0]) && vl_list_set (&a, &vm[1]));
  CU_ASSERT (vl_list_set (&b, &vm[1]) && vl_list_set (&b, &vm[0]));
  CU_ASSERT (!vl_list_set (&b, &vm[0]));
  CU_ASSERT_EQUAL (a.digest, b.digest);
  vm[1].slots++;
  CU_ASSERT (vl_list_set (&b, &vm[1]));
  CU_ASSERT_NOT_EQUAL (a.digest, b.digest);
  vm[1].state = PR_VM_GONE;
  CU_ASSERT (vl_list_set (&b, &vm[1]) && !vl_list_set (&b, &vm[1]));
  all = vl_list_json (&b);
  CU_ASSERT (json_equal (json_array_get (json_object_get (all, "vms"), 0), o));
  CU_ASSERT_EQUAL (json_array_size (json_object_get (all, "vms")), 1);
  json_decref (all);
  json_decref (o);
  vl_list_fini (&a);
  vl_list_fini (&b);
}

static void
test_only_one_daemon_reads (void)
{
  begin (1, LINES);
  run (3000);
  CU_ASSERT (all_same ());
  most_frequent_reader (1);
  run (60000);
  CU_ASSERT_EQUAL (total_reads (), sim.reads[most_frequent_reader (0)]);
  CU_ASSERT (total_reads () >= 55 && total_reads () <= 60);
  json_array_set_new (sim.platform, 3, line (3, "leaving"));
  json_array_remove (sim.platform, 5);
  json_array_append_new (sim.platform, line (LINES, "live"));
  run (1200);
  CU_ASSERT (all_same ());
  CU_ASSERT_EQUAL (total_reads (), sim.reads[most_frequent_reader (0)]);
  end ();
}

/* The platform's list is replaced and later restored to its old state; the
   daemons must follow both times.  */
static void
test_list_restored_to_older_state (void)
{
  json_t *before;

  begin (2, LINES);
  run (3000);
  before = json_deep_copy (sim.platform);
  json_array_clear (sim.platform);
  json_array_append_new (sim.platform, line (99, "live"));
  run (2000);
  CU_ASSERT (all_same ());
  json_decref (sim.platform);
  sim.platform = before;
  run (2000);
  CU_ASSERT (all_same ());
  end ();
}

static void
test_silent_reader (void)
{
  int first, second;

  begin (3, LINES);
  run (3000);
  most_frequent_reader (1);
  run (5000);
  first = most_frequent_reader (1);
  sim.is_silent[first] = 1;
  json_array_set_new (sim.platform, 3, line (3, "leaving"));
  run (CONVERGE_MS);
  CU_ASSERT (all_same ());
  run (3000);
  most_frequent_reader (1);
  run (10000);
  second = most_frequent_reader (0);
  CU_ASSERT_NOT_EQUAL (first, second);
  CU_ASSERT_EQUAL (total_reads (), sim.reads[second]);
  sim.is_silent[first] = 0;
  json_array_set_new (sim.platform, 4, line (4, "leaving"));
  run (CONVERGE_MS);
  CU_ASSERT (all_same ());
  most_frequent_reader (1);
  run (10000);
  CU_ASSERT_EQUAL (total_reads (), sim.reads[first]);
  end ();
}

/* A whole failure domain disappears: first with more changes than one message
   holds, then with more than VL_MAX_CHANGES, so that the others must read.  */
static void
test_many_changes (void)
{
  static const int sizes[] = { PR_MAX_VMS * 3, VL_MAX_CHANGES + 10 };

  for (int i = 0; i < 2; i++)
    {
      begin (4, sizes[i]);
      run (4000);
      json_array_clear (sim.platform);
      most_frequent_reader (1);
      run (CONVERGE_MS);
      CU_ASSERT (all_same ());
      if (!i)
        CU_ASSERT_EQUAL (total_reads (), sim.reads[most_frequent_reader (0)]);
      end ();
    }
}

static void
test_outdated_messages_are_ignored (void)
{
  struct pr_vms *old = g_new (struct pr_vms, 1);
  struct vl_follow *f;
  guint at = 0;
  int r;

  begin (5, LINES);
  run (4000);
  most_frequent_reader (1);
  run (3000);
  r = most_frequent_reader (0);
  f = &sim.f[(r + 1) % (DAEMONS - 1)];
  json_array_set_new (sim.platform, 3, line (3, "leaving"));
  run (1200);
  CU_ASSERT_FATAL (vl_next_message (&sim.f[r], sim.now, &at, old));
  CU_ASSERT_EQUAL (old->count, 1);
  json_array_remove (sim.platform, 3);
  run (1200);
  CU_ASSERT (all_same ());
  CU_ASSERT_EQUAL (vl_on_message (f, sim.now, old), 0); /* "w003 is leaving" */
  CU_ASSERT (all_same ());
  g_strlcpy (old->reader, "unknown", PR_ID_SIZE);
  old->serial += 100;
  CU_ASSERT_EQUAL (vl_on_message (f, sim.now, old), 0);
  CU_ASSERT (all_same ());
  g_free (old);
  end ();
}

/* Each list equals the platform's within CONVERGE_MS of a change, although
   messages are lost, delayed and duplicated.  */
static void
test_random (void)
{
  for (unsigned long seed = 1; seed <= 40; seed++)
    {
      begin (seed, LINES);
      sim.lost_percent = (int)(seed * 7 % 60);
      sim.duplicated_percent = 20;
      sim.max_delay_ms = MAX_DELAY_MS;
      run (2000);
      for (int round = 0; round < 25; round++)
        {
          int i = (int)gsl_rng_uniform_int (sim.rng, LINES), silent;

          silent = happens (30) ? (int)gsl_rng_uniform_int (sim.rng, DAEMONS)
                                : -1;
          if (silent >= 0)
            sim.is_silent[silent] = 1;
          json_array_set_new (sim.platform, (size_t)i,
                              line (happens (50) ? i : i + 500 + round,
                                    happens (50) ? "leaving" : "live"));
          run (CONVERGE_MS);
          if (!all_same ())
            {
              fprintf (stderr, "seed %lu round %d\n", seed, round);
              CU_FAIL ("a list differs");
            }
          if (silent >= 0)
            sim.is_silent[silent] = 0;
          run (STEP_MS * (int64_t)gsl_rng_uniform_int (sim.rng, 30));
        }
      end ();
    }
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    { "lines", test_lines },
    { "only one daemon reads", test_only_one_daemon_reads },
    { "restored", test_list_restored_to_older_state },
    { "silent reader", test_silent_reader },
    { "many changes", test_many_changes },
    { "outdated messages", test_outdated_messages_are_ignored },
    { "random", test_random },
    CU_TEST_INFO_NULL,
  };

  return run_suite ("vms", tests);
}
