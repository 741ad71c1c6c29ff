#include <stdio.h>

#include "burn/burn.h"
#include "skr/base.h"
#include "skr/http.h"

enum
{
  TIMEOUT_MS = 2000,
  STATUS_OK = 200
};

/* Appends a append_sample of the entry VM at ADDRESS to F, if it answers.  BUF
   has HC_MAX_BODY bytes.  */
static void
append_sample (struct hc_client *hc, FILE *f, const char *address,
               const char *auth, char *buf)
{
  char *url = g_strdup_printf ("http://%s/v1/counters", address);
  struct hc_request r = {
    .method = "GET", .url = url, .header = { auth }, .timeout_ms = TIMEOUT_MS
  };
  struct hc_answer a = { .outcome = HC_LOST };
  json_t *o = NULL;

  if (hc_call (hc, &r, &a, buf, HC_MAX_BODY) == HC_OK
      && a.outcome == HC_ANSWERED && a.status == STATUS_OK)
    o = json_loadb (buf, a.body_size, 0, NULL);
  if (json_is_object (o))
    {
      json_object_set_new (o, "at_ms", json_integer (bs_wall_ms ()));
      json_dumpf (o, f, JSON_COMPACT);
      fputc ('\n', f);
      fflush (f);
    }
  json_decref (o);
  g_free (url);
}

int
bn_record (const char *entries, const char *key, const char *path,
           int64_t every_ms, int64_t for_ms, char *reason)
{
  struct hc_config config
      = { .max_in_progress = 4, .connections_per_host = 1 };
  struct bs_clock clock = bs_clock_system ();
  int64_t end_ms = bs_now_ms (&clock) + for_ms;
  char **address = g_strsplit (entries, ",", -1);
  char *auth = g_strdup_printf ("Authorization: Bearer %s", key);
  char *buf = g_malloc (HC_MAX_BODY);
  struct hc_client *hc = hc_new (&config);
  FILE *f = fopen (path, "a");
  int code = f && hc ? BN_OK : BN_EIO;

  if (code)
    snprintf (reason, BN_REASON, "%s: cannot open for writing", path);
  bs_stop_on_signals ();
  while (!code)
    {
      for (int i = 0; address[i]; i++)
        append_sample (hc, f, address[i], auth, buf);
      if (bs_now_ms (&clock) >= end_ms || bs_stop_wait ((int)every_ms))
        break;
    }
  if (f)
    fclose (f);
  hc_free (hc);
  g_free (buf);
  g_free (auth);
  g_strfreev (address);
  return code;
}
