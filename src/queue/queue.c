/* Lookup of queues and client accounts.  */
#include <glib.h>
#include <sodium.h>
#include <string.h>

#include "skr/queue.h"

enum
{
  MS_PER_SECOND = 1000
};

void
qu_free (struct qu_config *config)
{
  if (!config)
    return;
  for (int i = 0; i < config->queue_count; i++)
    {
      g_free (config->queue[i].name);
      g_free (config->queue[i].host);
      g_free (config->queue[i].prefix);
      g_free (config->queue[i].service);
    }
  for (int i = 0; i < config->account_count; i++)
    {
      for (int k = 0; k < config->account[i].key_count; k++)
        g_free (config->account[i].key[k]);
      g_free (config->account[i].key);
      g_free (config->account[i].name);
    }
  g_free (config->queue);
  g_free (config->account);
  g_free (config);
}

/* Whether HOST without its port is NAME.  */
static int
host_matches (const char *name, const char *host)
{
  size_t n = strcspn (host, ":");

  return strlen (name) == n && !g_ascii_strncasecmp (name, host, n);
}

const struct qu_queue *
qu_find_queue (const struct qu_config *config, const char *host,
               const char *path, const char **rest)
{
  const struct qu_queue *best = NULL;
  size_t best_length = 0;

  for (int i = 0; host && i < config->queue_count; i++)
    {
      const struct qu_queue *q = &config->queue[i];
      size_t n = strlen (q->prefix);

      if (!host_matches (q->host, host) || strncmp (path, q->prefix, n) != 0
          || (best && n <= best_length))
        continue;
      best = q;
      best_length = n;
    }
  if (best)
    *rest = path + best_length;
  return best;
}

static int
keys_equal (const char *a, const char *b)
{
  size_t n = strlen (a);

  return n == strlen (b) && !sodium_memcmp (a, b, n);
}

const struct qu_account *
qu_find_account (const struct qu_config *config, const char *key)
{
  const struct qu_account *found = NULL;

  for (int i = 0; key && i < config->account_count; i++)
    for (int k = 0; k < config->account[i].key_count; k++)
      if (keys_equal (config->account[i].key[k], key))
        found = &config->account[i];
  return found;
}

int
qu_retry_after_s (int64_t wait_ms)
{
  int64_t s = (wait_ms + MS_PER_SECOND - 1) / MS_PER_SECOND;

  return s < 1 ? 1 : (int)s;
}
