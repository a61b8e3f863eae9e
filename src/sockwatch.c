#include "sockwatch.h"

#include <dlfcn.h>
#include <glib.h>
#include <pthread.h>
#include <sys/socket.h>

#include "clock.h"
#include "sync.h"

typedef int (*connect_t)(int fd, __CONST_SOCKADDR_ARG addr, socklen_t len);

static pthread_once_t start_once = PTHREAD_ONCE_INIT;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t wake;
static GTree *watched; /* active gv_sockwatch_t, earliest deadline first */
/* When the thread wakes up without a signal. Only an exchange with an earlier
   deadline signals it: most exchanges end long before their deadlines, and a
   signal for each would cost two context switches. */
static int64_t wake_at_ms = INT64_MAX;
static pthread_once_t connect_once = PTHREAD_ONCE_INIT;
static connect_t next_connect;
static _Thread_local int last_fd = -1; /* connected last by this thread */

/* Sets next_connect to the connect that ours hides. */
static void
find_connect(void)
{
    next_connect = (connect_t)dlsym(RTLD_NEXT, "connect");
    g_assert(next_connect != NULL);
}

/* Replaces the C library's connect in this program: stores the socket for
   GvSockWatch_Connected and calls the original. Needed because neon's public
   functions give no access to the socket of a session. */
int
connect(int fd, __CONST_SOCKADDR_ARG addr, socklen_t len)
{
    pthread_once(&connect_once, find_connect);
    last_fd = fd;
    return next_connect(fd, addr, len);
}

/* Orders exchanges by deadline, then by address. */
static gint
compare_end(gconstpointer a, gconstpointer b, gpointer user)
{
    (void)user;
    const gv_sockwatch_t *x = a;
    const gv_sockwatch_t *y = b;
    if (x->end_ms != y->end_ms) {
        return x->end_ms < y->end_ms ? -1 : 1;
    }
    return (x > y) - (x < y);
}

/* Shuts the socket down if the deadline has passed; reads and writes in
   progress then end at once. The lock is held. */
static void
shut_down_expired(gv_sockwatch_t *w)
{
    if (w->expired && w->fd >= 0) {
        shutdown(w->fd, SHUT_RDWR);
    }
}

/* Thread: waits for the earliest deadline and shuts down the socket of the
   exchange whose deadline has passed. */
static void *
watch_thread(void *arg)
{
    (void)arg;
    pthread_mutex_lock(&lock);
    for (;;) {
        GTreeNode *node = g_tree_node_first(watched);
        if (node == NULL) {
            wake_at_ms = INT64_MAX;
            pthread_cond_wait(&wake, &lock);
            continue;
        }
        gv_sockwatch_t *w = g_tree_node_key(node);
        if (w->end_ms > GvClock_MonoMs()) {
            wake_at_ms = w->end_ms;
            GvSync_WaitUntil(&wake, &lock, wake_at_ms * 1000);
            continue;
        }
        g_tree_remove(watched, w);
        w->expired = true;
        shut_down_expired(w);
    }
    return NULL;
}

/* Starts the thread, which runs until the process ends. */
static void
start(void)
{
    GvSync_InitCond(&wake);
    watched = g_tree_new_full(compare_end, NULL, NULL, NULL);
    pthread_t thread;
    int err = pthread_create(&thread, NULL, watch_thread, NULL);
    if (err != 0) {
        g_error("cannot start the thread that enforces exchange deadlines; "
                "aborting: %s",
                g_strerror(err));
    }
    pthread_detach(thread);
}

/* Begins an exchange that may last until end_ms (GvClock_MonoMs). It may use
   the socket of an earlier exchange, which w keeps. */
void
GvSockWatch_Begin(gv_sockwatch_t *w, int64_t end_ms)
{
    pthread_once(&start_once, start);
    pthread_mutex_lock(&lock);
    w->end_ms = end_ms;
    w->active = true;
    w->expired = false;
    g_tree_insert(watched, w, w);
    if (end_ms < wake_at_ms) {
        pthread_cond_signal(&wake);
    }
    pthread_mutex_unlock(&lock);
}

/* Ends the exchange. Returns true if its deadline had passed; its socket may
   then have been shut down. */
bool
GvSockWatch_End(gv_sockwatch_t *w)
{
    pthread_mutex_lock(&lock);
    g_tree_remove(watched, w);
    w->active = false;
    bool expired = w->expired;
    pthread_mutex_unlock(&lock);
    return expired;
}

/* Sets the socket of the exchange to the one that this thread connected last,
   and shuts it down if the deadline has passed. */
void
GvSockWatch_Connected(gv_sockwatch_t *w)
{
    pthread_mutex_lock(&lock);
    w->fd = last_fd;
    if (w->active) {
        shut_down_expired(w);
    }
    pthread_mutex_unlock(&lock);
}

/* Clears the socket. Must be called before it is closed, because its number
   may then be used for another one. */
void
GvSockWatch_Closing(gv_sockwatch_t *w)
{
    pthread_mutex_lock(&lock);
    w->fd = -1;
    pthread_mutex_unlock(&lock);
}
