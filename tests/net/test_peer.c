#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <zmq.h>

#include "skr/base.h"
#include "skr/peer.h"
#include "suite.h"

enum
{
  WAIT_MS = 10000,
  STEP_MS = 10
};

static void
fill_heartbeat (struct pr_message *m)
{
  memset (m, 0, sizeof *m);
  m->kind = PR_HEARTBEAT;
  strcpy (m->u.heartbeat.vm, "vm-1");
  strcpy (m->u.heartbeat.address, "127.0.0.1:7001");
  m->u.heartbeat.role = PR_SCHED;
  m->u.heartbeat.plans_version = INT64_MAX;
  m->u.heartbeat.stamp_ms = -5;
  m->u.heartbeat.cells = PR_MAX_CELLS;
  for (int i = 0; i < PR_MAX_CELLS; i++)
    {
      snprintf (m->u.heartbeat.cell[i].cell, PR_ID_SIZE, "cell-%d", i);
      m->u.heartbeat.cell[i].epoch = i;
    }
}

/* Checks that decoding and encoding again yields the same bytes.  */
static void
check_round_trip (const struct pr_message *a)
{
  struct pr_message *b = calloc (1, sizeof *b);
  char *first = NULL, *second = NULL;
  int size = pr_encode (a, &first);

  CU_ASSERT_FATAL (size > 0);
  CU_ASSERT_EQUAL_FATAL (pr_decode (b, first, size), PR_OK);
  CU_ASSERT_EQUAL_FATAL (pr_encode (b, &second), size);
  CU_ASSERT_EQUAL (memcmp (first, second, (size_t)size), 0);
  free (first);
  free (second);
  free (b);
}

static void
test_codec_round_trip (void)
{
  struct pr_message *a = calloc (1, sizeof *a);

  fill_heartbeat (a);
  check_round_trip (a);
  memset (a, 0, sizeof *a);
  a->kind = PR_CREDITS;
  strcpy (a->u.credits.cell, "east");
  a->u.credits.count = PR_MAX_CREDITS;
  a->u.credits.credit[PR_MAX_CREDITS - 1].slots = 3;
  check_round_trip (a);
  free (a);
}

static void
test_codec_round_trip_of_vms (void)
{
  struct pr_message *a = calloc (1, sizeof *a);

  if (!a)
    {
      CU_FAIL_FATAL ("no memory");
      return;
    }
  a->kind = PR_VMS;
  a->u.vms.digest = INT64_MIN;
  a->u.vms.count = PR_MAX_VMS;
  strcpy (a->u.vms.vm[PR_MAX_VMS - 1].rack, "r9");
  check_round_trip (a);
  free (a);
}

static void
test_codec_refuses_truncated_or_changed (void)
{
  struct pr_message *m = calloc (1, sizeof *m), *b = calloc (1, sizeof *b);
  char *data = NULL;
  int size;

  fill_heartbeat (m);
  size = pr_encode (m, &data);
  CU_ASSERT_FATAL (size > 0);
  for (int cut = 0; cut < size; cut++)
    CU_ASSERT_EQUAL (pr_decode (b, data, cut), PR_EINVAL);
  data[1]++; /* the version */
  CU_ASSERT_EQUAL (pr_decode (b, data, size), PR_EINVAL);
  data[1]--;
  data[2] = 99; /* the kind */
  CU_ASSERT_EQUAL (pr_decode (b, data, size), PR_EINVAL);
  free (data);
  free (m);
  free (b);
}

/* The first two have headers that announce more elements than can follow, the
   third a text with a NUL.  */
static void
test_codec_refuses_false_lengths (void)
{
  static const char wide[] = "\xdd\xff\xff\xff\xff\xdd\xff\xff\xff\xff";
  static const char list[] = "\x93\x01\x06\x92\xa1v\xdd\x00\xff\xff\xff";
  static const char text[] = "\x93\x01\x03\x92\xa2\x00y\xa1x";
  struct pr_message *b = calloc (1, sizeof *b);

  CU_ASSERT_EQUAL (pr_decode (b, wide, sizeof wide - 1), PR_EINVAL);
  CU_ASSERT_EQUAL (pr_decode (b, list, sizeof list - 1), PR_EINVAL);
  CU_ASSERT_EQUAL (pr_decode (b, text, sizeof text - 1), PR_EINVAL);
  free (b);
}

static void
test_codec_refuses_unterminated_text (void)
{
  struct pr_message *m = calloc (1, sizeof *m);
  char *data;

  m->kind = PR_JOB;
  memset (m->u.job.job, 'x', PR_ID_SIZE);
  CU_ASSERT_EQUAL (pr_encode (m, &data), PR_EINVAL);
  m->kind = PR_USAGE;
  m->u.usage.count = PR_MAX_USAGE + 1;
  CU_ASSERT_EQUAL (pr_encode (m, &data), PR_EINVAL);
  free (m);
}

static void
on_message (void *arg, const struct pr_message *message)
{
  __atomic_add_fetch ((int *)arg, message->kind == PR_JOB, __ATOMIC_SEQ_CST);
}

struct node
{
  struct pr_net *net;
  char address[PR_ADDRESS_SIZE];
  int received;
};

static int
open_node (struct node *node, const char *public_key, const char *secret_key,
           const char *other_key)
{
  node->received = 0;
  for (int try = 0; try < 50; try++)
    {
      struct pr_settings s
          = { node->address, public_key, secret_key, other_key, 16 };

      snprintf (node->address, PR_ADDRESS_SIZE, "127.0.0.1:%d",
                20000 + (int)((bs_wall_ms () * 7919 + try * 131) % 30000));
      if (pr_new (&node->net, &s, on_message, &node->received) == PR_OK)
        return 0;
    }
  return -1;
}

static void
sleep_ms (int ms)
{
  struct timespec ts = { 0, ms * 1000000L };

  nanosleep (&ts, NULL);
}

/* Sends repeatedly until another message arrives; returns 0 when none arrives
   within WAIT_MS.  */
static int
message_arrives (struct node *from, struct node *to, int wait_ms)
{
  struct pr_message *m = calloc (1, sizeof *m);
  int before = __atomic_load_n (&to->received, __ATOMIC_SEQ_CST), arrived = 0;

  m->kind = PR_JOB;
  strcpy (m->u.job.job, "east~1");
  for (int ms = 0; ms < wait_ms && !arrived; ms += STEP_MS)
    {
      if (ms % 200 == 0)
        pr_send (from->net, to->address, m);
      sleep_ms (STEP_MS);
      arrived = __atomic_load_n (&to->received, __ATOMIC_SEQ_CST) > before;
    }
  free (m);
  return arrived;
}

static void
connect_to (struct node *from, struct node *to)
{
  const char *address = to->address;

  CU_ASSERT_EQUAL (pr_set_peers (from->net, &address, 1), PR_OK);
}

static void
test_message_arrives (void)
{
  struct node a, b;

  CU_ASSERT_EQUAL_FATAL (open_node (&a, NULL, NULL, NULL), 0);
  CU_ASSERT_EQUAL_FATAL (open_node (&b, NULL, NULL, NULL), 0);
  connect_to (&a, &b);
  CU_ASSERT (message_arrives (&a, &b, WAIT_MS));
  pr_free (a.net);
  pr_free (b.net);
}

static void
test_queue_of_an_absent_peer_is_bounded (void)
{
  static const char *const absent = "127.0.0.1:1";
  struct pr_message *m = calloc (1, sizeof *m);
  struct node a;
  int full = 0;

  CU_ASSERT_EQUAL_FATAL (open_node (&a, NULL, NULL, NULL), 0);
  m->kind = PR_JOB;
  CU_ASSERT_EQUAL (pr_send (a.net, NULL, m), PR_ENOPEER);
  pr_set_peers (a.net, &absent, 1);
  for (int i = 0; i < 100; i++)
    full += pr_send (a.net, absent, m) == PR_EFULL;
  CU_ASSERT (full >= 100 - 16 - 1);
  pr_free (a.net);
  free (m);
}

static void
test_malformed_message_is_counted_and_dropped (void)
{
  void *ctx = zmq_ctx_new ();
  void *dealer = zmq_socket (ctx, ZMQ_DEALER);
  char url[PR_ADDRESS_SIZE + 8];
  struct pr_counts counts = { 0 };
  struct node b;

  CU_ASSERT_EQUAL_FATAL (open_node (&b, NULL, NULL, NULL), 0);
  snprintf (url, sizeof url, "tcp://%s", b.address);
  zmq_connect (dealer, url);
  zmq_send (dealer, "\xff\xff", 2, 0);
  zmq_send (dealer, "x", 1, ZMQ_SNDMORE);
  zmq_send (dealer, "y", 1, 0);
  for (int ms = 0; ms < WAIT_MS && counts.malformed < 2; ms += STEP_MS)
    {
      sleep_ms (STEP_MS);
      pr_count (b.net, &counts);
    }
  CU_ASSERT_EQUAL (counts.malformed, 2);
  CU_ASSERT_EQUAL (counts.received, 0);
  zmq_close (dealer);
  zmq_ctx_term (ctx);
  pr_free (b.net);
}

static void
test_keys_are_required_off_loopback (void)
{
  static const char *const far = "10.0.0.1:7000";
  struct pr_settings s = { "0.0.0.0:7000", NULL, NULL, NULL, 16 };
  struct pr_net *net;
  struct node a;

  CU_ASSERT_EQUAL (pr_new (&net, &s, on_message, NULL), PR_EINVAL);
  CU_ASSERT_EQUAL_FATAL (open_node (&a, NULL, NULL, NULL), 0);
  CU_ASSERT_EQUAL (pr_set_peers (a.net, &far, 1), PR_EINVAL);
  pr_free (a.net);
}

struct key_pair
{
  char public_key[PR_KEY_SIZE], secret_key[PR_KEY_SIZE];
};

static void
test_foreign_key_is_refused (void)
{
  struct key_pair own, foreign;
  struct pr_counts counts;
  struct node a, b;

  zmq_curve_keypair (own.public_key, own.secret_key);
  zmq_curve_keypair (foreign.public_key, foreign.secret_key);
  CU_ASSERT_EQUAL_FATAL (open_node (&b, own.public_key, own.secret_key, NULL),
                         0);
  /* This node knows the server's public key but has its own key pair.  */
  CU_ASSERT_EQUAL_FATAL (
      open_node (&a, foreign.public_key, foreign.secret_key, own.public_key),
      0);
  connect_to (&a, &b);
  CU_ASSERT_FALSE (message_arrives (&a, &b, 1000));
  pr_count (b.net, &counts);
  CU_ASSERT (counts.refused > 0);
  pr_free (a.net);
  pr_free (b.net);
}

/* Messages must arrive at each step of a key rotation, while one node is a
   step ahead of the other.  */
static void
test_keys_rotate_without_restart (void)
{
  struct key_pair old, new;
  struct node a, b;

  zmq_curve_keypair (old.public_key, old.secret_key);
  zmq_curve_keypair (new.public_key, new.secret_key);
  CU_ASSERT_EQUAL_FATAL (open_node (&a, old.public_key, old.secret_key, NULL),
                         0);
  CU_ASSERT_EQUAL_FATAL (open_node (&b, old.public_key, old.secret_key, NULL),
                         0);
  connect_to (&a, &b);
  connect_to (&b, &a);
  CU_ASSERT (message_arrives (&a, &b, WAIT_MS));
  pr_set_keys (a.net, old.public_key, old.secret_key, new.public_key);
  CU_ASSERT (message_arrives (&a, &b, WAIT_MS)
             && message_arrives (&b, &a, WAIT_MS));
  pr_set_keys (b.net, old.public_key, old.secret_key, new.public_key);
  pr_set_keys (a.net, new.public_key, new.secret_key, old.public_key);
  CU_ASSERT (message_arrives (&a, &b, WAIT_MS)
             && message_arrives (&b, &a, WAIT_MS));
  pr_set_keys (b.net, new.public_key, new.secret_key, old.public_key);
  pr_set_keys (a.net, new.public_key, new.secret_key, NULL);
  CU_ASSERT (message_arrives (&a, &b, WAIT_MS)
             && message_arrives (&b, &a, WAIT_MS));
  pr_set_keys (b.net, new.public_key, new.secret_key, NULL);
  CU_ASSERT (message_arrives (&a, &b, WAIT_MS)
             && message_arrives (&b, &a, WAIT_MS));
  pr_free (a.net);
  pr_free (b.net);
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    { "codec round trip", test_codec_round_trip },
    { "codec of VMs", test_codec_round_trip_of_vms },
    { "codec: cut or changed", test_codec_refuses_truncated_or_changed },
    { "codec: false lengths", test_codec_refuses_false_lengths },
    { "codec: unfinished text", test_codec_refuses_unterminated_text },
    { "message arrives", test_message_arrives },
    { "queue is bounded", test_queue_of_an_absent_peer_is_bounded },
    { "malformed is dropped", test_malformed_message_is_counted_and_dropped },
    { "keys off loopback", test_keys_are_required_off_loopback },
    { "foreign key", test_foreign_key_is_refused },
    { "rotation", test_keys_rotate_without_restart },
    CU_TEST_INFO_NULL,
  };

  bs_init ();
  return run_suite ("peer", tests);
}
