#include <curl/curl.h>
#include <stdlib.h>

#include "worker.h"

enum
{
  REGISTER_TIMEOUT_MS = 2000
};

static size_t
discard (char *data, size_t size, size_t count, void *arg)
{
  (void)data;
  (void)arg;
  return size * count;
}

static char *
describe_worker (struct sw_worker *sw)
{
  const struct sw_settings *s = &sw->settings;
  json_t *o = json_pack (
      "{s:s, s:s, s:s, s:s, s:s, s:I, s:I, s:I}", "role", "worker", "address",
      sw->server.address, "rack", s->rack, "domain", s->domain, "state",
      sw->leaving ? "leaving" : "live", "accelerators",
      (json_int_t)s->accelerators, "slots", (json_int_t)s->slots,
      "connections", (json_int_t)s->connections);
  char *text = json_dumps (o, JSON_COMPACT);

  json_decref (o);
  return text;
}

int
sw_register (struct sw_worker *sw, int gone)
{
  char *body, *url;
  CURL *curl;
  long status = 0;

  if (!*sw->settings.platform)
    return 0;
  curl = curl_easy_init ();
  if (!curl)
    return -1;
  pthread_mutex_lock (&sw->lock);
  body = describe_worker (sw);
  pthread_mutex_unlock (&sw->lock);
  url = g_strdup_printf ("%s/v1/admin/vms/%s", sw->settings.platform,
                         sw->settings.id);
  curl_easy_setopt (curl, CURLOPT_URL, url);
  curl_easy_setopt (curl, CURLOPT_CUSTOMREQUEST, gone ? "DELETE" : "PUT");
  curl_easy_setopt (curl, CURLOPT_POSTFIELDS, gone ? "" : body);
  curl_easy_setopt (curl, CURLOPT_TIMEOUT_MS, (long)REGISTER_TIMEOUT_MS);
  curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, discard);
  curl_easy_setopt (curl, CURLOPT_NOSIGNAL, 1L);
  if (curl_easy_perform (curl) == CURLE_OK)
    curl_easy_getinfo (curl, CURLINFO_RESPONSE_CODE, &status);
  curl_easy_cleanup (curl);
  g_free (url);
  free (body);
  return status == 200 ? 0 : -1;
}
