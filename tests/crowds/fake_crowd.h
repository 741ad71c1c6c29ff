/* A crowd of clients that don't behave, the process that it calls, and an
   ordinary caller beside it.  */
#ifndef CROWDS_FAKE_CROWD_H
#define CROWDS_FAKE_CROWD_H

#include <pthread.h>
#include <stdatomic.h>
#include <stddef.h>
#include <sys/types.h>

enum
{
  CR_MAX_CONNECTIONS = 2048,
  CR_ADDRESS_SIZE = 32, /* bytes of "IP:PORT" with its NUL */
  CR_KIB = 1024
};

/* A process of the system.  */
struct cr_process
{
  pid_t pid;
  char log[64]; /* path of its output */
};

/* Writes an address on loopback with a free port.  */
void cr_free_address (char out[CR_ADDRESS_SIZE]);
/* Starts ARGV[0] from the folder of the programs; ends the test if it can't
   be started.  */
void cr_start (struct cr_process *p, const char *const *argv);
int cr_is_alive (struct cr_process *p);
/* Sends SIGTERM and waits.  Returns 1 if the process ended by it with exit
   status 0; else kills it.  */
int cr_stop (struct cr_process *p);
/* Largest resident size so far in KiB.  */
long cr_peak_kib (const struct cr_process *p);
/* KiB that the kernel has received for the port of ADDRESS and nobody has
   read.  */
long cr_unread_kib (const char *address);
/* Number of open descriptors.  */
int cr_descriptors (const struct cr_process *p);

struct cr_crowd
{
  const char *address;
  int fd[CR_MAX_CONNECTIONS], count;
  /* A thread sends this byte now and then on each connection, so that none is
     idle; '\0': it sends nothing.  */
  char trickle;
  pthread_t thread;
  atomic_int leaving;
};

/* Opens COUNT connections to ADDRESS and sends the SIZE bytes of TEXT on each,
   as far as the process reads them.  Then TRICKLE as described above.  */
void cr_crowd_come (struct cr_crowd *c, const char *address, int count,
                    const char *text, size_t size, char trickle);
/* Closes all connections.  */
void cr_crowd_leave (struct cr_crowd *c);

/* Sends an ordinary request on a connection of its own.  HEADERS are lines
   with CR LF, BODY may be NULL.  Returns the status of the answer, or 0 if
   none comes.  */
int cr_request (const char *address, const char *method, const char *path,
                const char *headers, const char *body);
/* Repeats GET PATH until it is answered with 200; ends the test if P ends.  */
void cr_await (struct cr_process *p, const char *address, const char *path);

#endif
