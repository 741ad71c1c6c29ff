#include "batch/end_report.h"

#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <jansson.h>
#include <poll.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "skr/base.h"
#include "skr/crash.h"
#include "skr/port.h"

enum
{
  CONNECT_MS = 100, /* longest wait for the connection */
  ANSWER_MS = 200,  /* and for the answer, after which the row is written */
  REQUEST_SIZE = 2048,
  VALUE_SIZE = 256,
  ADDRESS_SIZE = 64
};

/* Read by the handler, on the thread that changes it or while that one stands
   still.  */
static struct
{
  struct sockaddr_in address;
  char store[ADDRESS_SIZE], token[LE_NAME_SIZE];
  atomic_llong began_ms;
} holder;

const char *
er_key (void)
{
  return "~end";
}

/* Writes NUMBER to OUT as digits.  */
static void
format_number (char out[24], int64_t number)
{
  char digits[24];
  int i = sizeof digits - 1;

  digits[i] = '\0';
  do
    digits[--i] = (char)('0' + number % 10);
  while ((number /= 10) > 0);
  memcpy (out, digits + i, sizeof digits - (size_t)i);
}

static void
format_value (char out[VALUE_SIZE], const char *id)
{
  const struct bs_clock clock = bs_clock_boot ();
  int64_t age_ms = bs_now_ms (&clock) - atomic_load (&holder.began_ms);
  char number[24];

  format_number (number, MAX (age_ms, 0));
  g_strlcpy (out, "{\"token\":\"", VALUE_SIZE);
  g_strlcat (out, holder.token, VALUE_SIZE);
  g_strlcat (out, "\",\"age_ms\":", VALUE_SIZE);
  g_strlcat (out, number, VALUE_SIZE);
  g_strlcat (out, ",\"id\":\"", VALUE_SIZE);
  g_strlcat (out, strlen (id) == SJ_ID_SIZE - 1 ? id : "", VALUE_SIZE);
  g_strlcat (out, "\"}", VALUE_SIZE);
}

static int
begin_connection (int fd)
{
  return !connect (fd, (const struct sockaddr *)&holder.address,
                   sizeof holder.address)
         || errno == EINPROGRESS;
}

static void
send_request (const char *request)
{
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  struct pollfd p = { .fd = fd, .events = POLLOUT };

  if (fd < 0)
    return;
  if (begin_connection (fd) && poll (&p, 1, CONNECT_MS) == 1
      && send (fd, request, strlen (request), MSG_NOSIGNAL) > 0)
    {
      p.events = POLLIN;
      poll (&p, 1, ANSWER_MS);
    }
  close (fd);
}

static void
report (const char *id)
{
  static char value[VALUE_SIZE], request[REQUEST_SIZE];

  format_value (value, id);
  if (!po_format_put (request, sizeof request, holder.store, "jobs", er_key (),
                      value))
    send_request (request);
}

void
er_begin (const char *store, const char *token, int64_t now_ms)
{
  char host[ADDRESS_SIZE];
  const char *port = store ? strchr (store, ':') : NULL;

  if (!port || (size_t)(port - store) >= sizeof host)
    return;
  g_strlcpy (host, store, (gsize)(port - store) + 1);
  holder.address
      = (struct sockaddr_in){ .sin_family = AF_INET,
                              .sin_port = htons ((uint16_t)atoi (port + 1)) };
  if (inet_pton (AF_INET, host, &holder.address.sin_addr) != 1)
    return;
  g_strlcpy (holder.store, store, sizeof holder.store);
  g_strlcpy (holder.token, token, sizeof holder.token);
  atomic_store (&holder.began_ms, now_ms);
  cr_set_report_fn (report);
}

void
er_end (void)
{
  cr_set_report_fn (NULL);
}

static void
copy_text (char *out, size_t size, const json_t *o, const char *name)
{
  const char *text = json_string_value (json_object_get (o, name));

  g_strlcpy (out, text ? text : "", size);
}

void
er_read (struct le_end *end, const char *value)
{
  json_t *o = json_loads (value, 0, NULL);

  copy_text (end->token, sizeof end->token, o, "token");
  copy_text (end->id, sizeof end->id, o, "id");
  end->age_ms = json_integer_value (json_object_get (o, "age_ms"));
  json_decref (o);
}
