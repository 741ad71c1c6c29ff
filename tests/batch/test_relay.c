/* Relayed requests: decisions without sockets, and two VMs with servers on
   loopback.  One has no store, the other a fake one.  */
#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "batch/fake_store.h"
#include "suite.h"

#define ID "00000000000000a1"
#define BODY "{\"specification\":\"x\",\"steps\":[{\"count\":1}]}"

enum
{
  CUT,    /* the VM that the caller asks; it has no store */
  SERVED, /* the other one */
  VMS,
  CALL_TIMEOUT_MS = 3000
};

static struct batch vm[VMS];
static struct ba_settings settings[VMS];
static GAsyncQueue *queue;
static struct hc_client *client;
static int is_answered;
static int goes_down; /* CUT loses its store once it handled a request */
static struct hc_answer answer;

struct item
{
  struct batch *b; /* NULL: the caller got its answer */
  struct ba_event *e;
};

static void
push (struct batch *b, struct ba_event *e)
{
  struct item *item = g_new (struct item, 1);

  *item = (struct item){ b, e };
  g_async_queue_push (queue, item);
}

void
ba_push (struct batch *b, struct ba_event *e)
{
  push (b, e);
}

static void
on_answer (void *arg, const struct hc_answer *a)
{
  (void)arg;
  answer = *a;
  push (NULL, NULL);
}

static void
add_peer (struct batch *b, const char *name, const char *address,
          const char *secret, int64_t at_ms)
{
  char key[80] = "relay/", value[200];
  struct po_row row = { .table = (char *)"vms", .key = key, .value = value };

  g_strlcat (key, name, sizeof key);
  snprintf (value, sizeof value,
            "{\"address\":\"%s\",\"secret\":\"%s\",\"at\":%lld}", address,
            secret, (long long)at_ms);
  rl_on_row (b, &row, 1);
}

static void
setup_vm (int n)
{
  static const char *const names[VMS] = { "vm1", "vm2" };
  struct batch *b = &vm[n];
  const char *reason;

  memset (b, 0, sizeof *b);
  settings[n] = (struct ba_settings){
    .vm = names[n], .revoke_ms = 5000, .max_requests = 8, .max_tasks = 1200
  };
  b->settings = &settings[n];
  b->clock = bs_clock_boot ();
  b->now_ms = bs_now_ms (&b->clock);
  co_init (b);
  vw_init (&b->view);
  ac_init (&b->access, b->now_ms);
  b->entry_port.client = client;
  b->pending = g_ptr_array_new_with_free_func (pe_free);
  b->config = po_config_read (
      "{\"version\":1,\"routes\":[{\"name\":\"q\",\"host\":\"h\","
      "\"prefix\":\"/p/\",\"service\":\"s\"}],"
      "\"tenants\":[{\"name\":\"t\",\"api_keys\":[\"k\"]}]}",
      &reason);
  b->config_follower.synced = b->job_follower.synced = 1;
  b->config_follower.fresh_ms = b->job_follower.fresh_ms = b->now_ms;
  rl_init (b);
}

static struct hs_server *
serve (struct batch *b, hs_handle *handle)
{
  struct hs_config c = { .listen = "127.0.0.1:0",
                         .threads = 1,
                         .max_connections = 16,
                         .max_body = 4096,
                         .idle_s = 30,
                         .handle = handle,
                         .arg = b };
  struct hs_server *hs = NULL;

  CU_ASSERT_EQUAL_FATAL (hs_new (&hs, &c), HS_OK);
  return hs;
}

static const char *
address_of (struct hs_server *hs)
{
  static char text[40];

  snprintf (text, sizeof text, "127.0.0.1:%d", hs_port (hs));
  return text;
}

static void
setup (void)
{
  struct hc_config hc = { .max_in_progress = 16,
                          .connections_per_host = 4,
                          .connect_timeout_ms = 500 };

  fs_reset ();
  queue = g_async_queue_new ();
  client = hc_new (&hc);
  for (int n = 0; n < VMS; n++)
    setup_vm (n);
  vm[CUT].store_down = 1;
  vm[CUT].caller_server = serve (&vm[CUT], fr_handle);
  vm[SERVED].relay.server = serve (&vm[SERVED], rl_handle);
  add_peer (&vm[CUT], "vm2", address_of (vm[SERVED].relay.server),
            vm[SERVED].relay.secret, 0);
}

static void
fini_vm (int n)
{
  g_ptr_array_free (vm[n].pending, TRUE);
  g_ptr_array_free (vm[n].relay.peers, TRUE);
  g_ptr_array_free (vm[n].relay.calls, TRUE);
  vw_fini (&vm[n].view);
  qu_free (vm[n].config);
  st_fini (&vm[n].stats);
}

static void
end_server (struct hs_server *hs)
{
  while (hs_in_progress (hs))
    g_usleep (1000);
  hs_free (hs);
}

static void
teardown (void)
{
  hc_free (client);
  end_server (vm[CUT].caller_server);
  end_server (vm[SERVED].relay.server);
  for (int n = 0; n < VMS; n++)
    fini_vm (n);
  g_async_queue_unref (queue);
  fs_reset ();
}

static void
handle (const struct item *item)
{
  struct batch *b = item->b;

  b->now_ms = bs_now_ms (&b->clock);
  if (item->e->kind == BA_RELAY_REPLY)
    rl_on_reply (b, item->e->u.relayed);
  else
    fr_request (b, item->e->u.request);
  if (goes_down && b == &vm[CUT])
    {
      b->store_down = 1;
      pe_tick (b);
    }
  g_free (item->e);
}

/* The store of SERVED answers.  */
static void
store_replies (void)
{
  struct po_rows rows = { .result = PO_DONE, .version = 9 };
  struct ba_store_call *call = fs_take_call ();

  if (call && call->pending)
    pe_on_reply (call->pending, &rows);
  g_free (call);
}

/* Sends a caller's request and handles events until it is answered.  With
   IS_SILENT the store does not answer meanwhile.  */
static void
call (const char *method, const char *key, int deadline_ms, int is_silent)
{
  char url[80], deadline[80], authorization[40];
  struct hc_request r = { .method = method,
                          .url = url,
                          .body = *method == 'P' ? BODY : NULL,
                          .header = { "Host: h", authorization, deadline },
                          .timeout_ms = CALL_TIMEOUT_MS,
                          .done = on_answer };
  struct item *item;

  snprintf (url, sizeof url, "http://%s/p/" ID,
            address_of (vm[CUT].caller_server));
  snprintf (deadline, sizeof deadline, "%s: %d", po_deadline_header (),
            deadline_ms);
  snprintf (authorization, sizeof authorization, "Authorization: Bearer %s",
            key);
  is_answered = 0;
  CU_ASSERT_EQUAL_FATAL (hc_submit (client, &r), HC_OK);
  while (!is_answered
         && (item = g_async_queue_timeout_pop (queue, 5 * G_USEC_PER_SEC)))
    {
      if (item->b)
        handle (item);
      else
        is_answered = 1;
      g_free (item);
      if (!is_silent)
        store_replies ();
    }
  CU_ASSERT (is_answered);
}

/* What follows an answer of STATUS, or one of 0 after OUTCOME.  */
static enum rl_next
decide (enum hc_outcome outcome, int status, int is_lookup, int tries,
        int may_be_done)
{
  struct rl_try t = { .outcome = outcome,
                      .status = status,
                      .is_lookup = is_lookup,
                      .tries = tries,
                      .may_be_done = may_be_done };

  return rl_decide (&t);
}

/* Guards against an answer that is passed on although the request was not
   executed, or the reverse.  */
static void
test_decisions (void)
{
  CU_ASSERT_EQUAL (decide (HC_ANSWERED, 200, 0, 1, 0), RL_PASS);
  CU_ASSERT_EQUAL (decide (HC_ANSWERED, 504, 0, 1, 0), RL_PASS);
  CU_ASSERT_EQUAL (decide (HC_ANSWERED, 400, 0, 2, 0), RL_PASS);
  CU_ASSERT_EQUAL (decide (HC_ANSWERED, 503, 0, 1, 0), RL_OTHER);
  CU_ASSERT_EQUAL (decide (HC_ANSWERED, 503, 0, 2, 0), RL_PASS);
  CU_ASSERT_EQUAL (decide (HC_ANSWERED, 403, 0, 2, 0), RL_NOT_RUN);
  CU_ASSERT_EQUAL (decide (HC_NOT_SENT, 0, 0, 1, 0), RL_OTHER);
  CU_ASSERT_EQUAL (decide (HC_NOT_SENT, 0, 0, 2, 0), RL_NOT_RUN);
  CU_ASSERT_EQUAL (decide (HC_LOST, 0, 0, 1, 0), RL_OTHER);
  CU_ASSERT_EQUAL (decide (HC_LOST, 0, 0, 2, 0), RL_UNKNOWN);
  CU_ASSERT_EQUAL (decide (HC_LOST, 0, 1, 1, 0), RL_OTHER);
  CU_ASSERT_EQUAL (decide (HC_LOST, 0, 1, 2, 0), RL_NOT_RUN);
}

/* Guards against a refusal of a repeat that is passed on although the first
   try may have been executed.  */
static void
test_decisions_on_a_repeat (void)
{
  static const int refusals[] = { 400, 401, 403, 404, 405, 409, 412,
                                  413, 421, 422, 429, 500, 503, 504 };

  for (size_t i = 0; i < G_N_ELEMENTS (refusals); i++)
    CU_ASSERT_EQUAL (decide (HC_ANSWERED, refusals[i], 0, 2, 1), RL_UNKNOWN);
  CU_ASSERT_EQUAL (decide (HC_NOT_SENT, 0, 0, 2, 1), RL_UNKNOWN);
  CU_ASSERT_EQUAL (decide (HC_LOST, 0, 0, 2, 1), RL_UNKNOWN);
  CU_ASSERT_EQUAL (decide (HC_ANSWERED, 200, 0, 2, 1), RL_PASS);
  CU_ASSERT_EQUAL (decide (HC_ANSWERED, 410, 0, 2, 1), RL_PASS);
}

/* Guards against relaying to a VM that has ended, to this one, or to one that
   has just refused.  */
static void
test_choice_of_a_vm (void)
{
  struct po_row gone = { .key = (char *)"relay/vm4", .deleted = 1 };
  char secret[RL_SECRET_SIZE];
  struct batch *b = &vm[CUT];

  memset (secret, 'a', sizeof secret - 1);
  secret[sizeof secret - 1] = '\0';
  setup_vm (CUT);
  b->store_clock_ms = 200000;
  b->vm_follower.fresh_ms = b->store_clock_at_ms = b->now_ms;
  add_peer (b, "vm1", "127.0.0.1:1", secret, 200000);
  add_peer (b, "vm2", "127.0.0.1:1", secret, 100000);
  add_peer (b, "vm5", "127.0.0.1:1", "short", 200000);
  CU_ASSERT_PTR_NULL (rl_pick (b, NULL));
  add_peer (b, "vm3", "127.0.0.1:1", secret, 200000);
  add_peer (b, "vm4", "127.0.0.1:1", secret, 200000);
  CU_ASSERT_STRING_EQUAL (rl_pick (b, "vm3")->vm, "vm4");
  rl_on_row (b, &gone, 1);
  CU_ASSERT_PTR_NULL (rl_pick (b, "vm3"));
  rl_pick (b, NULL)->avoid_until_ms = b->now_ms + 1;
  CU_ASSERT_PTR_NULL (rl_pick (b, NULL));
  b->now_ms++;
  CU_ASSERT_STRING_EQUAL (rl_pick (b, NULL)->vm, "vm3");
  rl_on_synced (b, 2);
  CU_ASSERT_EQUAL (b->relay.peers->len, 0);
  fini_vm (CUT);
}

/* Guards against refusals while another VM has the store, and against a relay
   that does not check the caller's key.  */
static void
test_served_by_the_other_vm (void)
{
  setup ();
  call ("POST", "k", 2000, 0);
  CU_ASSERT_EQUAL (answer.status, 200);
  CU_ASSERT_EQUAL (fs_store.writes, 1);
  call ("GET", "k", 2000, 0);
  CU_ASSERT_EQUAL (answer.status, 200);
  call ("DELETE", "k", 2000, 0);
  CU_ASSERT_EQUAL (answer.status, 200);
  CU_ASSERT_EQUAL (fs_store.writes, 2);
  vm[CUT].config_follower.fresh_ms -= 5000;
  call ("POST", "revoked", 2000, 0);
  CU_ASSERT_EQUAL (answer.status, 401);
  teardown ();
}

/* Guards against a lookup that waits for its deadline because it was sent just
   before the VM lost the store.  */
static void
test_lookup_in_flight (void)
{
  setup ();
  call ("POST", "k", 2000, 0);
  vm[CUT].store_down = 0;
  goes_down = 1;
  call ("GET", "k", 2000, 0);
  goes_down = 0;
  CU_ASSERT_EQUAL (answer.status, 200);
  CU_ASSERT_EQUAL (fs_store.reads, 1);
  CU_ASSERT_EQUAL (vm[CUT].pending->len, 0);
  teardown ();
}

/* Guards against requests that VMs without the store relay to each other.  */
static void
test_relayed_once (void)
{
  setup ();
  vm[SERVED].store_down = 1;
  add_peer (&vm[SERVED], "vm1", address_of (vm[SERVED].relay.server),
            vm[SERVED].relay.secret, 0);
  call ("POST", "k", 2000, 0);
  CU_ASSERT_EQUAL (answer.status, 503);
  CU_ASSERT (answer.retry_after_s >= 1);
  CU_ASSERT_EQUAL (vm[SERVED].relay.calls->len, 0);
  CU_ASSERT_EQUAL (fs_store.writes, 0);
  teardown ();
}

/* Guards against relayed requests of a process that could not read the
   store.  */
static void
test_wrong_secret (void)
{
  setup ();
  vm[SERVED].relay.secret[0] ^= 1;
  call ("POST", "k", 2000, 0);
  CU_ASSERT_EQUAL (answer.status, 503);
  CU_ASSERT_EQUAL (fs_store.writes, 0);
  teardown ();
}

/* Guards against "not run" for a request that reached the other VM, and
   against a lost request when the first VM refuses connections.  */
static void
test_unanswered_is_unknown (void)
{
  setup ();
  add_peer (&vm[CUT], "vm3", "127.0.0.1:1", vm[SERVED].relay.secret, 0);
  vm[CUT].relay.turn = 1;
  call ("POST", "k", 2000, 0);
  CU_ASSERT_EQUAL (answer.status, 200);
  vw_fini (&vm[SERVED].view);
  vw_init (&vm[SERVED].view);
  call ("POST", "k", 900, 1);
  CU_ASSERT_EQUAL (answer.status, 504);
  pe_fail_all (&vm[SERVED]);
  teardown ();
}

/* Accepts a connection, reads a request and closes it, COUNT times.  */
struct breaker
{
  GThread *thread;
  int listener, count;
  char address[40];
};

static void *
break_connections (void *arg)
{
  struct breaker *k = arg;
  char buf[4096];

  for (int i = 0; i < k->count; i++)
    {
      int fd = accept (k->listener, NULL, NULL);

      CU_ASSERT (recv (fd, buf, sizeof buf, 0) > 0);
      close (fd);
    }
  return NULL;
}

static void
start_breaker (struct breaker *k, int count)
{
  struct sockaddr_in a = { .sin_family = AF_INET };
  socklen_t size = sizeof a;

  a.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  k->count = count;
  k->listener = socket (AF_INET, SOCK_STREAM, 0);
  CU_ASSERT_FATAL (
      !bind (k->listener, (struct sockaddr *)&a, sizeof a)
      && !listen (k->listener, 4)
      && !getsockname (k->listener, (struct sockaddr *)&a, &size));
  snprintf (k->address, sizeof k->address, "127.0.0.1:%d", ntohs (a.sin_port));
  k->thread = g_thread_new ("breaker", break_connections, k);
}

static void
end_breaker (struct breaker *k)
{
  g_thread_join (k->thread);
  close (k->listener);
}

/* Relays METHOD to a VM that closes the connection, and then, after which it
   is avoided, to SERVED.  */
static void
call_broken (struct breaker *k, const char *method)
{
  struct rl_peer *first;

  rl_on_synced (&vm[CUT], 2);
  add_peer (&vm[CUT], "vm3", k->address, vm[SERVED].relay.secret, 0);
  add_peer (&vm[CUT], "vm2", address_of (vm[SERVED].relay.server),
            vm[SERVED].relay.secret, 0);
  vm[CUT].relay.turn = 0;
  first = rl_pick (&vm[CUT], NULL);
  CU_ASSERT_STRING_EQUAL_FATAL (first->vm, "vm3");
  call (method, "k", 2000, 0);
}

/* Guards against a submission or a cancellation of unknown outcome because a
   connection between two VMs broke: both may be sent again.  */
static void
test_broken_relay_is_repeated (void)
{
  struct breaker k;

  setup ();
  start_breaker (&k, 2);
  call_broken (&k, "POST");
  CU_ASSERT_EQUAL (answer.status, 200);
  call_broken (&k, "DELETE");
  CU_ASSERT_EQUAL (answer.status, 200);
  CU_ASSERT_EQUAL (fs_store.writes, 2);
  end_breaker (&k);
  teardown ();
}

/* Guards against "not run" from the second VM although the first one may have
   stored the job.  */
static void
test_refused_repeat_is_unknown (void)
{
  struct breaker k;

  setup ();
  vm[SERVED].store_down = 1;
  start_breaker (&k, 1);
  call_broken (&k, "POST");
  CU_ASSERT_EQUAL (answer.status, 504);
  end_breaker (&k);
  teardown ();
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    { "decisions", test_decisions },
    { "decisions on a repeat", test_decisions_on_a_repeat },
    { "choice", test_choice_of_a_vm },
    { "served", test_served_by_the_other_vm },
    { "lookup", test_lookup_in_flight },
    { "once", test_relayed_once },
    { "secret", test_wrong_secret },
    { "unknown", test_unanswered_is_unknown },
    { "repeated", test_broken_relay_is_repeated },
    { "refused repeat", test_refused_repeat_is_unknown },
    CU_TEST_INFO_NULL,
  };

  bs_init ();
  lg_init ("test", "plain", LG_ERROR);
  return run_suite ("relay", tests);
}
