/* The VM that holds the lease is restarted as planned, while workers leave
   orders of a gang unanswered and carry them out late.  The VM that takes
   over ends with a signal.  */
#include <stdio.h>
#include <string.h>

#include "review/stand-3/stand.h"

#define KEY "k-desk-1"

enum
{
  WORKERS = 8,
  ROUNDS = 8,
  LATE_MS = 4000,     /* orders are carried out 2 to 12 s late */
  ENDS_ON_A_VM = 3,   /* of the rule */
  LATE_FOR_MS = 3200, /* for_s of applied_late */
  ACK_WAIT_MS = 3000, /* for the end of the first member */
  SMALL_JOBS = 5,
  ROUND_MS = 9000     /* grace_s, a restart and contact_ms */
};

static int64_t late_until_ms;

/* For a few seconds the start of member 2 and the stop of member 1 of each
   gang are not answered; all other orders are.  */
static int
fate (int worker, const char *path, const char *task)
{
  (void)worker;
  if (strncmp (task, "00000000000000a", 15) != 0
      || rs_now_ms () > late_until_ms)
    return 0;
  if (!strcmp (path, "/v1/run-start"))
    return g_str_has_suffix (task, ".2") ? LATE_MS : 0;
  return g_str_has_suffix (task, ".1") ? LATE_MS : 0;
}

static void
submit (const struct rs_case *c, const char *path, const char *request)
{
  char body[400];

  for (int i = 0; i < 8; i++)
    {
      if (rs_call (c->vm[i % c->vms].address, "POST", path, KEY, request, body)
          == 200)
        return;
      rs_sleep (500);
    }
}

static void
cancel (const struct rs_case *c, const char *path)
{
  char body[400];

  for (int i = 0; i < 8; i++)
    {
      if (rs_call (c->vm[i % c->vms].address, "DELETE", path, KEY, NULL, body)
          == 200)
        return;
      rs_sleep (500);
    }
}

static void
play_round (struct rs_case *c, int n)
{
  static const char gang[]
      = "{\"specification\":\"work_ms=20000 gang=3\",\"steps\":[{\"count\":3,"
        "\"cpu\":1000,\"memory_request_mb\":1024,\"gpu\":8,"
        "\"estimated_ms\":20000,\"gang\":true}]}";
  static const char wide[]
      = "{\"specification\":\"work_ms=60000 gang=8\",\"steps\":[{\"count\":8,"
        "\"cpu\":1000,\"memory_request_mb\":1024,\"gpu\":8,"
        "\"estimated_ms\":60000,\"gang\":true}]}";
  char gang_path[60], wide_path[60], first[60], small_path[60];
  int64_t began_ms = rs_now_ms ();
  int holder;

  snprintf (gang_path, sizeof gang_path, "/desk/00000000000000a%d", n);
  snprintf (first, sizeof first, "00000000000000a%d.0.0.0", n);
  snprintf (wide_path, sizeof wide_path, "/urgent/00000000000000b%d", n);
  rs_note ("round %d", n);
  late_until_ms = rs_now_ms () + LATE_FOR_MS;
  submit (c, gang_path, gang);
  for (int i = 0; i < 100 && rs_where (first) < 0; i++)
    rs_sleep (20);
  submit (c, wide_path, wide);
  /* Jobs whose orders are all answered.  */
  for (int i = 0; i < SMALL_JOBS; i++)
    {
      snprintf (small_path, sizeof small_path, "/urgent/0000000000000c%d%d", n,
                i);
      submit (c, small_path,
              "{\"specification\":\"work_ms=200\",\"steps\":[{\"count\":4,"
              "\"cpu\":1000,\"memory_request_mb\":1024,"
              "\"estimated_ms\":200}]}");
    }
  if (c->trouble)
    {
      for (int i = 0; i < ACK_WAIT_MS / 20 && !rs_end_was_taken (first); i++)
        rs_sleep (20);
      holder = rs_holder (c);
      if (holder >= 0)
        rs_vm_terminate (c, holder);
    }
  while (rs_now_ms () - began_ms < ROUND_MS)
    rs_sleep (50);
  cancel (c, gang_path);
  cancel (c, wide_path);
  for (int i = 0; i < c->vms; i++)
    rs_note ("VM %d has ended by itself %d times", i + 1,
             rs_vm_crashes (c, i));
}

int
main (int argc, char **argv)
{
  struct rs_case c;
  char verdict[200];
  int orders, late, vms_with_three = 0, ends = 0;

  rs_begin (&c, argc, argv);
  rs_configure (1, 1, 3, "[\"" KEY "\"]");
  for (int n = 0; n < WORKERS; n++)
    rs_worker_start (n, "r1", 8);
  rs_wait_for_vms (&c);
  if (c.trouble)
    rs_orders_set_fate (fate);
  submit (&c, "/desk/00000000000000f1",
          "{\"specification\":\"lasts\",\"steps\":[{\"count\":1,\"cpu\":1000,"
          "\"memory_request_mb\":1024,\"gpu\":1,\"estimated_ms\":1000,"
          "\"long_running\":true}]}");
  rs_sleep (4000);
  for (int n = 0; n < ROUNDS; n++)
    play_round (&c, n);
  rs_count_orders (&orders, &late);
  rs_note ("%d of %d orders got no answer", late, orders);
  for (int i = 0; i < c.vms; i++)
    {
      ends += rs_vm_crashes (&c, i);
      vms_with_three += rs_vm_crashes (&c, i) >= ENDS_ON_A_VM;
    }
  snprintf (verdict, sizeof verdict,
            "%d ends of VMs by themselves; %d VMs with three or more", ends,
            vms_with_three);
  return rs_end (vms_with_three >= 2, verdict);
}
