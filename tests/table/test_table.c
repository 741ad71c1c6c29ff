/* What the answers of the table are taken for.  */
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "raw_server.h"
#include "skr/base.h"
#include "skr/log.h"
#include "skr/table.h"
#include "suite.h"

enum
{
  TIMEOUT_MS = 5000
};

static struct raw_server server;
static struct hc_client *client;
static GAsyncQueue *ends;

static void
on_end (void *arg, int error, json_t *data)
{
  (void)arg;
  (void)data;
  /* Errors are negative; the queue holds no NULL.  */
  g_async_queue_push (ends, GINT_TO_POINTER (1 - error));
}

/* Returns the error of a commit, or of a read, at the table at HOST that
   answers TEXT.  */
static int
call (const char *host, const char *text, int is_commit)
{
  char *url = g_strconcat ("http://", host, NULL);
  struct tb_config config = { .url = url, .timeout_ms = TIMEOUT_MS };
  struct tb_client *tb = tb_new (client, &config);
  struct tb_txn txn;
  int error;

  server.text = text;
  tb_txn_init (&txn);
  error = is_commit ? tb_commit (tb, &txn, on_end, NULL)
                    : tb_get (tb, "t", "k", on_end, NULL);
  CU_ASSERT_EQUAL_FATAL (error, TB_OK);
  error = 1 - GPOINTER_TO_INT (g_async_queue_pop (ends));
  tb_txn_fini (&txn);
  tb_free (tb);
  g_free (url);
  return error;
}

/* Guards against "nothing was written" for a commit that may have been.  */
static void
test_statuses (void)
{
  static const struct
  {
    int status, commit, read;
    const char *body;
  } cases[] = { { 200, TB_OK, TB_OK, "{}" },
                { 200, TB_EUNKNOWN, TB_EDOWN, "{" },
                { 200, TB_EUNKNOWN, TB_EDOWN, "" },
                { 400, TB_EINVAL, TB_EINVAL, "{}" },
                { 408, TB_EUNKNOWN, TB_EDOWN, "{}" },
                { 409, TB_ECONFLICT, TB_ECONFLICT, "{}" },
                { 409, TB_EUNKNOWN, TB_EDOWN, "" },
                { 429, TB_EBUSY, TB_EBUSY, "{}" },
                { 500, TB_EUNKNOWN, TB_EDOWN, "{}" },
                { 502, TB_EUNKNOWN, TB_EDOWN, "{}" },
                { 503, TB_EDOWN, TB_EDOWN, "{}" },
                { 504, TB_EUNKNOWN, TB_EDOWN, "{}" } };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      char *text = g_strdup_printf ("HTTP/1.1 %d X\r\nConnection: "
                                    "close\r\nContent-Length: %zu\r\n\r\n%s",
                                    cases[i].status, strlen (cases[i].body),
                                    cases[i].body);

      CU_ASSERT_EQUAL (call (server.address, text, 1), cases[i].commit);
      CU_ASSERT_EQUAL (call (server.address, text, 0), cases[i].read);
      g_free (text);
    }
}

/* Guards against the same for a commit without a whole answer.  */
static void
test_no_answer (void)
{
  CU_ASSERT_EQUAL (call (server.address, "", 1), TB_EUNKNOWN);
  CU_ASSERT_EQUAL (call (server.address, "HTTP/1.1 503 X\r\n", 1),
                   TB_EUNKNOWN);
  CU_ASSERT_EQUAL (call (server.address, "", 0), TB_EDOWN);
  CU_ASSERT_EQUAL (call ("127.0.0.1:1", "", 1), TB_EDOWN);
  CU_ASSERT_EQUAL (call ("127.0.0.1:1", "", 0), TB_EDOWN);
}

int
main (void)
{
  struct hc_config config
      = { .max_in_progress = 8, .connections_per_host = 1 };
  static const CU_TestInfo tests[] = {
    { "statuses", test_statuses },
    { "no answer", test_no_answer },
    CU_TEST_INFO_NULL,
  };
  int code;

  bs_init ();
  lg_init ("test", "plain", LG_ERROR);
  ends = g_async_queue_new ();
  client = hc_new (&config);
  if (raw_server_start (&server, ""))
    return EXIT_FAILURE;
  code = run_suite ("table", tests);
  hc_free (client);
  raw_server_end (&server);
  g_async_queue_unref (ends);
  return code;
}
