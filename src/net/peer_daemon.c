/* Functions shared by the daemons on the peer network: keys, connections and
   heartbeats.  */
#include <glib.h>
#include <string.h>

#include "skr/log.h"
#include "skr/peer.h"

int
pr_open (struct pr_net **out, struct pr_key_file *keys,
         const struct pr_daemon_settings *daemon, pr_receive *receive,
         void *arg)
{
  struct pr_settings s = { .listen = daemon->listen, .queue = daemon->queue };

  if (*daemon->keys_path)
    {
      if (pr_read_keys (daemon->keys_path, keys))
        return PR_EINVAL;
      s.public_key = keys->public_key;
      s.secret_key = keys->secret_key;
      s.other_key = keys->other_key;
    }
  return pr_new (out, &s, receive, arg);
}

void
pr_reload_keys (struct pr_net *net, struct pr_key_file *keys,
                const struct pr_daemon_settings *daemon)
{
  struct pr_key_file next;
  struct lg_field field[2];
  int error;

  if (!net || !*daemon->keys_path)
    return;
  error = pr_read_keys (daemon->keys_path, &next);
  if (!error && !memcmp (&next, keys, sizeof next))
    return;
  if (!error)
    error
        = pr_set_keys (net, next.public_key, next.secret_key, next.other_key);
  if (!error)
    *keys = next;
  field[0] = lg_str ("path", daemon->keys_path);
  field[1] = lg_int ("error", error);
  lg_log (LG_PEER_KEYS, 2, field);
}

static int
add_address (const char **out, int n, const char *address, const char *self)
{
  if (!address || !*address || !strcmp (address, self) || n == PR_MAX_PEERS)
    return n;
  for (int i = 0; i < n; i++)
    if (!strcmp (out[i], address))
      return n;
  out[n] = address;
  return n + 1;
}

int
pr_connect_peers (struct pr_net *net, const struct pr_daemon_settings *daemon,
                  const char *const *address, int count)
{
  const char **out = g_new (const char *, PR_MAX_PEERS);
  gchar **configured = g_strsplit (daemon->peers, ",", -1);
  int n = 0;

  for (int g = 0; configured[g]; g++)
    n = add_address (out, n, configured[g], daemon->listen);
  for (int i = 0; i < count; i++)
    n = add_address (out, n, address[i], daemon->listen);
  pr_set_peers (net, out, n);
  g_strfreev (configured);
  g_free (out);
  return n;
}

void
pr_init_heartbeat (struct pr_message *m,
                   const struct pr_daemon_settings *daemon, int leaving,
                   int64_t now_ms)
{
  struct pr_heartbeat *h = &m->u.heartbeat;

  memset (m, 0, sizeof *m);
  m->kind = PR_HEARTBEAT;
  g_strlcpy (h->vm, daemon->vm, sizeof h->vm);
  h->role = daemon->role;
  h->leaving = leaving;
  g_strlcpy (h->address, daemon->listen, sizeof h->address);
  g_strlcpy (h->domain, daemon->domain, sizeof h->domain);
  h->stamp_ms = now_ms;
}
