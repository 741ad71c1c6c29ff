/* The VM list, read by one daemon of a domain and told to the others, on a
   fake clock; then many daemons with messages that are lost, late, doubled
   and with readers that fall silent.  */
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
  KNOWN_MS = 3000, /* a leaving VM gets no new work after this */
  LATE_MS = 300,
  FLIGHT = 4096
};

static const char *const names[DAEMONS] = { "e1", "e2", "e3", "e4", "s1" };

struct flight
{
  struct pr_vms word;
  int64_t at_ms;
  int to;
};

static struct
{
  struct vl_follow f[DAEMONS];
  int mute[DAEMONS]; /* it neither reads nor says anything */
  int reads[DAEMONS];
  json_t *platform; /* array */
  int lost_percent, doubled_percent, late_ms;
  struct flight *flight[FLIGHT];
  int flights;
  int64_t now;
  gsl_rng *rng;
} w;

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
  memset (&w, 0, sizeof w);
  w.rng = gsl_rng_alloc (gsl_rng_taus2);
  gsl_rng_set (w.rng, seed);
  w.platform = json_array ();
  for (int i = 0; i < lines; i++)
    json_array_append_new (w.platform, line (i, "live"));
  for (int d = 0; d < DAEMONS; d++)
    vl_init (&w.f[d], names[d], "d1", d < DAEMONS - 1, 100 + d);
}

static void
end (void)
{
  for (int d = 0; d < DAEMONS; d++)
    vl_fini (&w.f[d]);
  for (int i = 0; i < w.flights; i++)
    g_free (w.flight[i]);
  json_decref (w.platform);
  gsl_rng_free (w.rng);
}

static int
chance (int percent)
{
  return (int)gsl_rng_uniform_int (w.rng, 100) < percent;
}

static void
send (int to, const struct pr_vms *word)
{
  struct flight *x;

  if (chance (w.lost_percent) || w.flights == FLIGHT)
    return;
  x = g_new (struct flight, 1);
  x->word = *word;
  x->to = to;
  x->at_ms = w.now;
  if (w.late_ms)
    x->at_ms += (int64_t)gsl_rng_uniform_int (w.rng, (unsigned)w.late_ms);
  w.flight[w.flights++] = x;
}

static void
read_and_tell (int d)
{
  struct pr_vms *word = g_new (struct pr_vms, 1);
  guint at = 0;

  vl_begin (&w.f[d], w.now);
  w.reads[d]++;
  vl_end (&w.f[d], w.now, w.platform);
  while (vl_tell (&w.f[d], w.now, &at, word))
    for (int to = 0; to < DAEMONS; to++)
      for (int n = chance (w.doubled_percent); to != d && n >= 0; n--)
        send (to, word);
  g_free (word);
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
        if (!w.mute[d] && !chance (w.lost_percent))
          vl_heard (&w.f[to], w.now, h);
      }
  g_free (h);
}

static void
arrive (void)
{
  for (int i = 0; i < w.flights;)
    {
      struct flight *x = w.flight[i];

      if (x->at_ms > w.now)
        {
          i++;
          continue;
        }
      if (!w.mute[x->to])
        vl_told (&w.f[x->to], w.now, &x->word);
      g_free (x);
      w.flight[i] = w.flight[--w.flights];
    }
}

static void
run (int64_t ms)
{
  for (int64_t until = w.now + ms; w.now < until; w.now += STEP_MS)
    {
      if (w.now % 1000 == 0)
        heartbeats ();
      arrive ();
      for (int d = 0; d < DAEMONS; d++)
        if (!w.mute[d] && vl_due (&w.f[d], w.now, w.now % VL_READ_MS == 0))
          read_and_tell (d);
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
  json_array_foreach (w.platform, i, o)
  {
    struct pr_vm vm;

    vl_read_line (&vm, o);
    vl_list_set (&list, &vm);
  }
  same = list.digest == w.f[d].list.digest
         && g_tree_nnodes (list.line) == g_tree_nnodes (w.f[d].list.line);
  vl_list_fini (&list);
  return same;
}

static int
all_same (void)
{
  int same = 0;

  for (int d = 0; d < DAEMONS; d++)
    same += w.mute[d] || same_as_platform (d);
  return same == DAEMONS;
}

static int
total_reads (void)
{
  int n = 0;

  for (int d = 0; d < DAEMONS; d++)
    n += w.reads[d];
  return n;
}

/* The daemon that has read most since the counts were cleared.  */
static int
reader (int clear)
{
  int best = 0;

  for (int d = 1; d < DAEMONS; d++)
    if (w.reads[d] > w.reads[best])
      best = d;
  if (clear)
    memset (w.reads, 0, sizeof w.reads);
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
  g_strlcpy (vm[1].id, "other", PR_ID);
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
test_one_reads (void)
{
  begin (1, LINES);
  run (3000);
  CU_ASSERT (all_same ());
  reader (1);
  run (60000);
  CU_ASSERT_EQUAL (total_reads (), w.reads[reader (0)]);
  CU_ASSERT (total_reads () >= 55 && total_reads () <= 60);
  json_array_set_new (w.platform, 3, line (3, "leaving"));
  json_array_remove (w.platform, 5);
  json_array_append_new (w.platform, line (LINES, "live"));
  run (1200);
  CU_ASSERT (all_same ());
  CU_ASSERT_EQUAL (total_reads (), w.reads[reader (0)]);
  end ();
}

/* A list that went back is what the platform says now.  */
static void
test_restored (void)
{
  json_t *before;

  begin (2, LINES);
  run (3000);
  before = json_deep_copy (w.platform);
  json_array_clear (w.platform);
  json_array_append_new (w.platform, line (99, "live"));
  run (2000);
  CU_ASSERT (all_same ());
  json_decref (w.platform);
  w.platform = before;
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
  reader (1);
  run (5000);
  first = reader (1);
  w.mute[first] = 1;
  json_array_set_new (w.platform, 3, line (3, "leaving"));
  run (KNOWN_MS);
  CU_ASSERT (all_same ());
  run (3000);
  reader (1);
  run (10000);
  second = reader (0);
  CU_ASSERT_NOT_EQUAL (first, second);
  CU_ASSERT_EQUAL (total_reads (), w.reads[second]);
  w.mute[first] = 0;
  json_array_set_new (w.platform, 4, line (4, "leaving"));
  run (KNOWN_MS);
  CU_ASSERT (all_same ());
  reader (1);
  run (10000);
  CU_ASSERT_EQUAL (total_reads (), w.reads[first]);
  end ();
}

/* A domain fails at once: more changes than one message holds, then more
   than are told at all.  */
static void
test_many_changes (void)
{
  static const int sizes[] = { PR_MAX_VMS * 3, VL_MAX_CHANGES + 10 };

  for (int i = 0; i < 2; i++)
    {
      begin (4, sizes[i]);
      run (4000);
      json_array_clear (w.platform);
      reader (1);
      run (KNOWN_MS);
      CU_ASSERT (all_same ());
      if (!i)
        CU_ASSERT_EQUAL (total_reads (), w.reads[reader (0)]);
      end ();
    }
}

static void
test_late_words (void)
{
  struct pr_vms *old = g_new (struct pr_vms, 1);
  struct vl_follow *f;
  guint at = 0;
  int r;

  begin (5, LINES);
  run (4000);
  reader (1);
  run (3000);
  r = reader (0);
  f = &w.f[(r + 1) % (DAEMONS - 1)];
  json_array_set_new (w.platform, 3, line (3, "leaving"));
  run (1200);
  CU_ASSERT_FATAL (vl_tell (&w.f[r], w.now, &at, old));
  CU_ASSERT_EQUAL (old->count, 1);
  json_array_remove (w.platform, 3);
  run (1200);
  CU_ASSERT (all_same ());
  CU_ASSERT_EQUAL (vl_told (f, w.now, old), 0); /* "w003 is leaving" */
  CU_ASSERT (all_same ());
  g_strlcpy (old->reader, "unknown", PR_ID);
  old->serial += 100;
  CU_ASSERT_EQUAL (vl_told (f, w.now, old), 0);
  CU_ASSERT (all_same ());
  g_free (old);
  end ();
}

/* Each list is right by 3 s after the last change, whatever was lost.  */
static void
test_random (void)
{
  for (unsigned long seed = 1; seed <= 40; seed++)
    {
      begin (seed, LINES);
      w.lost_percent = (int)(seed * 7 % 60);
      w.doubled_percent = 20;
      w.late_ms = LATE_MS;
      run (2000);
      for (int round = 0; round < 25; round++)
        {
          int i = (int)gsl_rng_uniform_int (w.rng, LINES), mute;

          mute = chance (30) ? (int)gsl_rng_uniform_int (w.rng, DAEMONS) : -1;
          if (mute >= 0)
            w.mute[mute] = 1;
          json_array_set_new (w.platform, (size_t)i,
                              line (chance (50) ? i : i + 500 + round,
                                    chance (50) ? "leaving" : "live"));
          run (KNOWN_MS);
          if (!all_same ())
            {
              fprintf (stderr, "seed %lu round %d\n", seed, round);
              CU_FAIL ("a list differs");
            }
          if (mute >= 0)
            w.mute[mute] = 0;
          run (STEP_MS * (int64_t)gsl_rng_uniform_int (w.rng, 30));
        }
      end ();
    }
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    { "lines", test_lines },
    { "one reads", test_one_reads },
    { "restored", test_restored },
    { "silent reader", test_silent_reader },
    { "many changes", test_many_changes },
    { "late words", test_late_words },
    { "random", test_random },
    CU_TEST_INFO_NULL,
  };

  return run_suite ("vms", tests);
}
