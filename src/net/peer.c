#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/eventfd.h>
#include <unistd.h>
#include <zmq.h>

#include "net/peer_impl.h"
#include "skr/log.h"

static int
is_loopback (const char *address)
{
  return !strncmp (address, "127.", 4) || !strncmp (address, "[::1]:", 6);
}

static void
wake_thread (struct pr_net *net)
{
  uint64_t one = 1;

  while (write (net->wake_fd, &one, sizeof one) < 0 && errno == EINTR)
    continue;
}

static int
copy_keys (struct pr_key_file *to, const char *public_key,
           const char *secret_key, const char *other_key)
{
  const char *from[] = { public_key, secret_key, other_key };
  char *to_key[] = { to->public_key, to->secret_key, to->other_key };

  memset (to, 0, sizeof *to);
  for (int i = 0; i < 3; i++)
    if (from[i] && *from[i])
      {
        if (strlen (from[i]) != PR_KEY_SIZE - 1)
          return PR_EINVAL;
        memcpy (to_key[i], from[i], PR_KEY_SIZE);
      }
  return !*to->public_key == !*to->secret_key ? PR_OK : PR_EINVAL;
}

static void
free_sockets (struct pr_net *net)
{
  for (int i = 0; i < net->peer_count; i++)
    pn_free_peer (net->peer[i]);
  zap_close (&net->zap);
  if (net->router)
    zmq_close (net->router);
  if (net->ctx)
    zmq_ctx_term (net->ctx);
  if (net->wake_fd >= 0)
    close (net->wake_fd);
  pthread_mutex_destroy (&net->lock);
  free (net);
}

static int
start_network (struct pr_net *net)
{
  net->ctx = zmq_ctx_new ();
  net->wake_fd = eventfd (0, EFD_CLOEXEC | EFD_NONBLOCK);
  if (!net->ctx || net->wake_fd < 0)
    return PR_ENOMEM;
  zmq_ctx_set (net->ctx, ZMQ_MAX_SOCKETS, 4 * PR_MAX_PEERS);
  zap_set_accepted_keys (&net->zap, net->keys.public_key, net->keys.other_key);
  if (pn_open_router (net))
    {
      struct lg_field field[] = { lg_str ("address", net->listen),
                                  lg_str ("reason", zmq_strerror (errno)) };

      lg_log (LG_LISTEN_FAILED, 2, field);
      return PR_ENET;
    }
  return bs_thread_start (&net->thread, pn_thread_main, net) ? PR_ENOMEM
                                                             : PR_OK;
}

int
pr_new (struct pr_net **out, const struct pr_settings *settings,
        pr_receive *receive, void *arg)
{
  struct pr_net *net;
  int error;

  if (strlen (settings->listen) >= PR_ADDRESS_SIZE || settings->queue <= 0)
    return PR_EINVAL;
  if (!is_loopback (settings->listen)
      && (!settings->secret_key || !*settings->secret_key))
    return PR_EINVAL;
  net = calloc (1, sizeof *net);
  if (!net)
    return PR_ENOMEM;
  pthread_mutex_init (&net->lock, NULL);
  net->wake_fd = -1;
  net->queue_size = settings->queue;
  net->clock = bs_clock_system ();
  net->receive = receive;
  net->arg = arg;
  snprintf (net->listen, sizeof net->listen, "tcp://%s", settings->listen);
  error = copy_keys (&net->keys, settings->public_key, settings->secret_key,
                     settings->other_key);
  if (!error)
    error = start_network (net);
  if (error)
    free_sockets (net);
  else
    *out = net;
  return error;
}

void
pr_free (struct pr_net *net)
{
  if (!net)
    return;
  pthread_mutex_lock (&net->lock);
  net->stop = 1;
  pthread_mutex_unlock (&net->lock);
  wake_thread (net);
  bs_thread_join (&net->thread);
  free_sockets (net);
}

static struct peer *
find_peer (struct pr_net *net, const char *address)
{
  for (int i = 0; i < net->peer_count; i++)
    if (!net->peer[i]->removed && !strcmp (net->peer[i]->address, address))
      return net->peer[i];
  return NULL;
}

static int
add_peer (struct pr_net *net, const char *address)
{
  struct peer *p;

  if (strlen (address) >= PR_ADDRESS_SIZE)
    return PR_EINVAL;
  if (!is_loopback (address) && !*net->keys.secret_key)
    return PR_EINVAL;
  if (net->peer_count == PR_MAX_PEERS)
    return PR_EFULL;
  p = calloc (1, sizeof *p);
  if (!p)
    return PR_ENOMEM;
  if (rg_init (&p->queue, (unsigned)net->queue_size))
    {
      free (p);
      return PR_ENOMEM;
    }
  snprintf (p->address, PR_ADDRESS_SIZE, "%s", address);
  net->peer[net->peer_count++] = p;
  return PR_OK;
}

static int
is_listed (const char *const *address, int count, const char *wanted)
{
  for (int i = 0; i < count; i++)
    if (!strcmp (address[i], wanted))
      return 1;
  return 0;
}

int
pr_set_peers (struct pr_net *net, const char *const *address, int count)
{
  int error = PR_OK;

  pthread_mutex_lock (&net->lock);
  for (int i = 0; i < net->peer_count; i++)
    if (!is_listed (address, count, net->peer[i]->address))
      net->peer[i]->removed = 1;
  for (int i = 0; i < count; i++)
    if (!find_peer (net, address[i]))
      {
        int e = add_peer (net, address[i]);

        error = error ? error : e;
      }
  pthread_mutex_unlock (&net->lock);
  wake_thread (net);
  return error;
}

static int
enqueue_copy (struct pr_net *net, struct peer *peer, const char *data,
              int size)
{
  struct queued_message *queued = malloc (sizeof *queued + (size_t)size);

  if (!queued)
    return PR_ENOMEM;
  queued->queued_ms = bs_now_ms (&net->clock);
  queued->size = size;
  memcpy (queued->data, data, (size_t)size);
  if (rg_push (&peer->queue, queued) == BS_OK)
    return PR_OK;
  net->counts.dropped++;
  free (queued);
  return PR_EFULL;
}

int
pr_send (struct pr_net *net, const char *address,
         const struct pr_message *message)
{
  int found = 0, error = PR_OK, size;
  char *data;

  size = pr_encode (message, &data);
  if (size < 0)
    return size;
  pthread_mutex_lock (&net->lock);
  for (int i = 0; i < net->peer_count; i++)
    {
      struct peer *p = net->peer[i];
      int e;

      if (p->removed || (address && strcmp (p->address, address) != 0))
        continue;
      found = 1;
      e = enqueue_copy (net, p, data, size);
      error = error ? error : e;
    }
  pthread_mutex_unlock (&net->lock);
  wake_thread (net);
  free (data);
  return found ? error : PR_ENOPEER;
}

int
pr_set_keys (struct pr_net *net, const char *public_key,
             const char *secret_key, const char *other_key)
{
  struct pr_key_file keys;
  int error = copy_keys (&keys, public_key, secret_key, other_key);

  if (error)
    return error;
  pthread_mutex_lock (&net->lock);
  if (!*keys.secret_key != !*net->keys.secret_key)
    error = PR_EINVAL;
  else if (memcmp (&keys, &net->keys, sizeof keys) != 0)
    {
      net->keys = keys;
      net->keys_changed = 1;
    }
  pthread_mutex_unlock (&net->lock);
  wake_thread (net);
  return error;
}

void
pr_count (struct pr_net *net, struct pr_counts *out)
{
  pthread_mutex_lock (&net->lock);
  *out = net->counts;
  pthread_mutex_unlock (&net->lock);
}
