/* What the answers of the store and of workers are taken for.  */
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "raw_server.h"
#include "skr/base.h"
#include "skr/port.h"
#include "suite.h"

enum
{
  TIMEOUT_MS = 5000
};

static struct raw_server server;
static struct hc_client *client;
static GAsyncQueue *ends;

static void
on_rows (void *arg, struct po_rows *rows)
{
  (void)arg;
  g_async_queue_push (ends, GINT_TO_POINTER (rows->result + 1));
  po_rows_free (rows);
}

static void
on_order (void *arg, const struct po_order_answer *a)
{
  (void)arg;
  g_async_queue_push (ends, GINT_TO_POINTER (a->answer + 1));
}

static void
on_listing (void *arg, struct po_listing *listing)
{
  on_order (arg, &listing->answer);
  po_listing_free (listing);
}

static int
wait_for_end (void)
{
  return GPOINTER_TO_INT (g_async_queue_pop (ends)) - 1;
}

/* Returns the result of a transaction at the store at HOST that answers
   TEXT.  */
static enum po_result
write_at (const char *host, const char *text)
{
  struct po_port port = { client, host };
  struct po_entry e
      = { .kind = PO_PUT, .table = "t", .key = "k", .value = "" };

  server.text = text;
  CU_ASSERT_EQUAL_FATAL (po_write (&port, &e, 1, TIMEOUT_MS, on_rows, NULL),
                         0);
  return (enum po_result)wait_for_end ();
}

static char *
status_text (int status, const char *body)
{
  return g_strdup_printf (
      "HTTP/1.1 %d X\r\nConnection: close\r\nContent-Length: %zu\r\n\r\n%s",
      status, strlen (body), body);
}

/* Guards against a transaction that counts as not done although it may have
   been executed, or the reverse.  */
static void
test_transactions (void)
{
  static const struct
  {
    int status;
    enum po_result result;
    const char *body;
  } cases[] = { { 200, PO_DONE, "{}" },
                { 200, PO_UNKNOWN, "{" },
                { 204, PO_UNKNOWN, "" },
                { 400, PO_REFUSED, "{}" },
                { 403, PO_REFUSED, "{}" },
                { 410, PO_HISTORY_GONE, "{}" },
                { 412, PO_CONFLICT, "{\"rows\":[]}" },
                { 412, PO_UNKNOWN, "" },
                { 429, PO_NOT_DONE, "{}" },
                { 500, PO_UNKNOWN, "{}" },
                { 502, PO_UNKNOWN, "{}" },
                { 503, PO_NOT_DONE, "{}" },
                { 504, PO_UNKNOWN, "{}" } };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      char *text = status_text (cases[i].status, cases[i].body);

      CU_ASSERT_EQUAL (write_at (server.address, text), cases[i].result);
      g_free (text);
    }
  CU_ASSERT_EQUAL (write_at (server.address, ""), PO_UNKNOWN);
  CU_ASSERT_EQUAL (write_at (server.address, "HTTP/1.1 503 X\r\n"),
                   PO_UNKNOWN);
  CU_ASSERT_EQUAL (write_at ("127.0.0.1:1", ""), PO_NOT_DONE);
}

enum order
{
  START,
  STOP,
  HOLD
};

/* Returns what an order to the worker at HOST that answers TEXT counts as.  */
static enum sj_answer
order_at (const char *host, enum order order, const char *text)
{
  struct po_port port = { client, server.address };
  struct po_target t = { .address = host, .id = "w" };
  struct sj_order start = { .run = { .job = "00000000000000a1", .number = 1 },
                            .payload = "x",
                            .checkpoint = "" };
  int error = 0;

  server.text = text;
  switch (order)
    {
    case START:
      error = po_start (&port, &t, &start, 1, TIMEOUT_MS, on_order, NULL);
      break;
    case STOP:
      error = po_stop (&port, &t, &start.run, TIMEOUT_MS, on_order, NULL);
      break;
    case HOLD:
      error = po_hold (&port, &t, 0, 1, 0, TIMEOUT_MS, on_listing, NULL);
      break;
    }
  CU_ASSERT_EQUAL_FATAL (error, 0);
  return (enum sj_answer)wait_for_end ();
}

/* Guards against a start that counts as refused although the worker may run
   it (TWICE, LIMIT), or the reverse.  */
static void
test_orders (void)
{
  static const struct
  {
    int status;
    enum sj_answer answer;
  } cases[] = { { 200, SJ_EXECUTED },   { 400, SJ_REFUSED },
                { 404, SJ_UNANSWERED }, { 408, SJ_UNANSWERED },
                { 409, SJ_REFUSED },    { 412, SJ_UNANSWERED },
                { 421, SJ_REFUSED },    { 429, SJ_REFUSED },
                { 500, SJ_UNANSWERED }, { 502, SJ_UNANSWERED },
                { 503, SJ_REFUSED },    { 504, SJ_UNANSWERED } };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      char *text = status_text (cases[i].status, "{}");

      CU_ASSERT_EQUAL (order_at (server.address, START, text),
                       cases[i].answer);
      CU_ASSERT_EQUAL (order_at (server.address, STOP, text), cases[i].answer);
      g_free (text);
    }
  for (enum order order = START; order <= HOLD; order++)
    {
      CU_ASSERT_EQUAL (order_at (server.address, order, ""), SJ_UNANSWERED);
      CU_ASSERT_EQUAL (order_at (server.address, order, "HTTP/1.1 503 X\r\n"),
                       SJ_UNANSWERED);
      CU_ASSERT_EQUAL (order_at ("127.0.0.1:1", order, ""), SJ_REFUSED);
    }
}

/* Guards against a listing without its lists, which would show that nothing
   runs on the worker.  */
static void
test_listings (void)
{
  static const char *const incomplete[] = { "",
                                            "{}",
                                            "{\"running\":[]}",
                                            "{\"ended\":[]}",
                                            "{\"running\":{},\"ended\":[]}",
                                            "{\"running\":[],\"ended\":[" };
  char *text;

  for (size_t i = 0; i < G_N_ELEMENTS (incomplete); i++)
    {
      text = status_text (200, incomplete[i]);
      CU_ASSERT_EQUAL (order_at (server.address, HOLD, text), SJ_UNANSWERED);
      g_free (text);
    }
  text = status_text (200, "{\"running\":[],\"ended\":[]}");
  CU_ASSERT_EQUAL (order_at (server.address, HOLD, text), SJ_EXECUTED);
  g_free (text);
}

int
main (void)
{
  struct hc_config config
      = { .max_in_progress = 8, .connections_per_host = 1 };
  static const CU_TestInfo tests[] = {
    { "transactions", test_transactions },
    { "orders", test_orders },
    { "listings", test_listings },
    CU_TEST_INFO_NULL,
  };
  int code;

  bs_init ();
  ends = g_async_queue_new ();
  client = hc_new (&config);
  if (raw_server_start (&server, ""))
    return EXIT_FAILURE;
  code = run_suite ("outcomes", tests);
  hc_free (client);
  raw_server_end (&server);
  g_async_queue_unref (ends);
  return code;
}
