/* Fuzzes the quota of an HTTP server with what a crowd of clients does: each
   pair of bytes is an action and a connection.  */
#include <stdint.h>
#include <stdlib.h>

#include "net/quota.h"

/* The names are defined by libFuzzer.  NOLINTBEGIN */
int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);
/* NOLINTEND */

enum
{
  CONNECTIONS = 32,
  MAX_OPEN = 8,
  MAX_HELD = 1 << 20 /* bytes */
};

struct client
{
  struct qt_conn conn;
  int is_open, has_head;
};

static struct qt_quota quota;
static struct client client[CONNECTIONS];

static void
check (int holds)
{
  if (!holds)
    abort ();
}

static void
open_client (struct client *c)
{
  struct qt_conn *victim = qt_open (&quota, &c->conn);

  c->is_open = 1;
  c->has_head = 0;
  check (!victim || victim->state == QT_CLOSING);
}

/* Asks for SIZE bytes as the server does, until it has them or nothing.  */
static void
hold (struct client *c, size_t size, int64_t now_ms)
{
  struct qt_conn *victim;

  if (size <= c->conn.held)
    return;
  while ((victim = qt_hold (&quota, &c->conn, size, now_ms)) != NULL)
    {
      check (!victim->held && victim->state != QT_WORKING);
      if (victim == &c->conn)
        return;
    }
  check (c->conn.held == size);
}

/* What follows the head depends on the state, as in the server.  */
static void
go_on (struct client *c, int action, int64_t now_ms)
{
  if (!c->has_head && c->conn.state != QT_WORKING)
    {
      qt_head (&quota, &c->conn);
      c->has_head = 1;
    }
  else if (c->conn.state == QT_WORKING)
    {
      qt_answered (&quota, &c->conn);
      c->has_head = 0;
    }
  else if (action & 4)
    hold (c, (size_t)action * 4096, now_ms);
  else
    check (qt_begin (&quota, &c->conn) == (c->conn.state == QT_WORKING));
}

static void
check_sums (void)
{
  size_t held = 0;
  int open = 0;

  for (int i = 0; i < CONNECTIONS; i++)
    if (client[i].is_open)
      {
        held += client[i].conn.held;
        open += client[i].conn.state != QT_CLOSING;
      }
  check (held == quota.held && held <= MAX_HELD);
  check (open == quota.open && open <= MAX_OPEN);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  int64_t now_ms = 0;

  qt_init (&quota, MAX_OPEN, MAX_HELD);
  for (int i = 0; i < CONNECTIONS; i++)
    client[i] = (struct client){ 0 };
  for (size_t i = 0; i + 1 < size; i += 2)
    {
      struct client *c = &client[data[i + 1] % CONNECTIONS];

      now_ms += data[i + 1] / CONNECTIONS;
      if (!c->is_open)
        open_client (c);
      else if (data[i] % 8 == 0 && c->conn.state != QT_WORKING)
        {
          qt_close (&quota, &c->conn);
          c->is_open = 0;
        }
      else
        go_on (c, data[i], now_ms);
      check_sums ();
    }
  return 0;
}
