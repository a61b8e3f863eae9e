#include "admin.h"

#include <string.h>

#include "admin_private.h"
#include "clock.h"
#include "counter.h"
#include "error.h"
#include "forward.h"
#include "ticket.h"

GV_GAUGE(in_progress, "requests_in_progress", "Requests that have not ended");
GV_GAUGE(exchanges, "exchanges_in_progress",
         "Exchanges with targets in progress, abandoned ones included");

/* Returns an answer with a copy of body. */
static gv_answer_t
answer(int status, const char *type, gv_str_t body)
{
    return (gv_answer_t){.outcome = GV_OUTCOME_RUN,
                         .status = status,
                         .content_type = GvStr_Dup(GvStr_C(type)),
                         .body = GvStr_Dup(body)};
}

/* Returns the JSON built so far as an answer and frees the builder. */
static gv_answer_t
json_answer(JsonBuilder *b)
{
    JsonNode *root = json_builder_get_root(b);
    JsonGenerator *g = json_generator_new();
    json_generator_set_root(g, root);
    gsize n;
    char *text = json_generator_to_data(g, &n);
    gv_answer_t a = answer(200, "application/json", GvStr_N(text, n));
    g_free(text);
    g_object_unref(g);
    json_node_unref(root);
    g_object_unref(b);
    return a;
}

/* Adds the queue, slots and run times of each service. */
static void
put_services(JsonBuilder *b, gv_kernel_t *k, int64_t now)
{
    GArray *rows = g_array_new(FALSE, FALSE, sizeof(gv_dispatch_row_t));
    GvDispatch_Report(k->dispatch, rows, now);
    json_builder_set_member_name(b, "services");
    json_builder_begin_array(b);
    for (guint i = 0; i < rows->len; i++) {
        const gv_dispatch_row_t *r =
            &g_array_index(rows, gv_dispatch_row_t, i);
        json_builder_begin_object(b);
        GvJson_AddString(b, "service", GvStr_C(r->service));
        GvJson_AddInt(b, "queued", r->queued);
        GvJson_AddInt(b, "busy", r->busy);
        GvJson_AddInt(b, "slots", r->slots);
        GvJson_AddInt(b, "rate", r->rate);
        GvJson_AddNumber(b, "mean_run_ms", r->mean_run_ms);
        GvJson_AddNumber(b, "wait_ms", r->wait_ms);
        json_builder_end_object(b);
    }
    json_builder_end_array(b);
    g_array_free(rows, TRUE);
}

/* Adds the targets of the own data centre. */
static void
put_targets(JsonBuilder *b, gv_kernel_t *k, int64_t now)
{
    GArray *rows = g_array_new(FALSE, FALSE, sizeof(gv_target_row_t));
    GvTargets_Report(k->targets, rows, now);
    json_builder_set_member_name(b, "targets");
    json_builder_begin_array(b);
    for (guint i = 0; i < rows->len; i++) {
        const gv_target_row_t *r = &g_array_index(rows, gv_target_row_t, i);
        json_builder_begin_object(b);
        GvJson_AddString(b, "host", GvStr_C(r->host));
        GvJson_AddString(b, "pool", GvStr_C(r->pool));
        GvJson_AddString(b, "addr", GvStr_C(r->addr));
        GvJson_AddString(b, "boot", GvStr_C(r->boot));
        GvJson_AddInt(b, "slots", r->slots);
        GvJson_AddInt(b, "usable", r->usable);
        GvJson_AddInt(b, "busy", r->busy);
        GvJson_AddInt(b, "abandoned", r->abandoned);
        GvJson_AddBool(b, "closed", r->closed);
        GvJson_AddBool(b, "leaving", r->leaving);
        GvJson_AddBool(b, "healthy", r->healthy);
        GvJson_AddBool(b, "ejected", r->ejected);
        json_builder_end_object(b);
    }
    json_builder_end_array(b);
    g_array_free(rows, TRUE);
}

/* Limits the size of the status page. */
#define MAX_REQUESTS_SHOWN 200

/* Adds the requests in progress, with the identifiers by which an operator can
   cancel them. */
static void
put_requests(JsonBuilder *b, gv_kernel_t *k, int64_t now)
{
    GArray *rows = g_array_new(FALSE, FALSE, sizeof(gv_request_row_t));
    GvRequests_Report(k->requests, rows, MAX_REQUESTS_SHOWN, now);
    json_builder_set_member_name(b, "requests");
    json_builder_begin_array(b);
    for (guint i = 0; i < rows->len; i++) {
        const gv_request_row_t *r = &g_array_index(rows, gv_request_row_t, i);
        char id[24];
        g_snprintf(id, sizeof id, "%" G_GINT64_MODIFIER "x", (guint64)r->id);
        json_builder_begin_object(b);
        GvJson_AddString(b, "id", GvStr_C(id));
        GvJson_AddString(b, "service", GvStr_C(r->service));
        GvJson_AddInt(b, "age_ms", r->age_ms);
        GvJson_AddBool(b, "active", r->active);
        json_builder_end_object(b);
    }
    json_builder_end_array(b);
    g_array_free(rows, TRUE);
}

/* Adds the entry hosts that are members. */
static void
put_members(JsonBuilder *b, gv_kernel_t *k)
{
    json_builder_set_member_name(b, "members");
    json_builder_begin_array(b);
    const gv_view_t *v = GvView_Acquire(k->views);
    for (int i = 0; i < v->n_members; i++) {
        const gv_member_t *m = &v->members[i];
        json_builder_begin_object(b);
        GvJson_AddString(b, "name", m->name);
        GvJson_AddString(b, "data_centre", m->dc);
        GvJson_AddInt(b, "incarnation", (int64_t)m->incarnation);
        GvJson_AddBool(b, "alive", GvPeers_IsAlive(k->peers, m->name, NULL));
        json_builder_end_object(b);
    }
    GvView_Release();
    json_builder_end_array(b);
}

/* Answers GET /v1/status. */
static gv_answer_t
status_page(gv_kernel_t *k)
{
    int64_t now = GvClock_MonoMs();
    JsonBuilder *b = json_builder_new();
    json_builder_begin_object(b);
    GvJson_AddString(b, "name", k->conf.name);
    GvJson_AddString(b, "data_centre", k->conf.dc);
    GvJson_AddString(b, "region", k->conf.region);
    GvJson_AddInt(b, "incarnation", (int64_t)k->incarnation);
    GvJson_AddBool(b, "joined", GvKernel_IsJoined(k));
    GvJson_AddBool(b, "stopping", GvKernel_IsStopping(k));
    GvJson_AddBool(b, "platform_ok", GvLogReader_PlatformOk(k->reader));
    GvAdmin_PutLedger(b, k);
    GvJson_AddInt(b, "in_progress", GvRequests_CountOpen(k->requests));
    put_requests(b, k, now);
    put_services(b, k, now);
    put_targets(b, k, now);
    put_members(b, k);
    json_builder_end_object(b);
    return json_answer(b);
}

/* Adds the error budget burn rate of a service over each window. */
static void
put_windows(JsonBuilder *b, const gv_dispatch_row_t *r)
{
    json_builder_set_member_name(b, "windows");
    json_builder_begin_array(b);
    for (int i = 0; i < GV_BURN_WINDOWS; i++) {
        json_builder_begin_object(b);
        GvJson_AddInt(b, "window_s", r->burn[i].window_s);
        GvJson_AddInt(b, "good", (int64_t)r->burn[i].good);
        GvJson_AddInt(b, "bad", (int64_t)r->burn[i].bad);
        GvJson_AddNumber(b, "burn", r->burn[i].burn);
        json_builder_end_object(b);
    }
    json_builder_end_array(b);
}

/* Answers GET /v1/burn. */
static gv_answer_t
burn_page(gv_kernel_t *k)
{
    GArray *rows = g_array_new(FALSE, FALSE, sizeof(gv_dispatch_row_t));
    GvDispatch_Report(k->dispatch, rows, GvClock_MonoMs());
    JsonBuilder *b = json_builder_new();
    json_builder_begin_object(b);
    GvJson_AddString(b, "name", k->conf.name);
    json_builder_set_member_name(b, "services");
    json_builder_begin_array(b);
    for (guint i = 0; i < rows->len; i++) {
        const gv_dispatch_row_t *r =
            &g_array_index(rows, gv_dispatch_row_t, i);
        json_builder_begin_object(b);
        GvJson_AddString(b, "service", GvStr_C(r->service));
        put_windows(b, r);
        json_builder_end_object(b);
    }
    json_builder_end_array(b);
    json_builder_end_object(b);
    g_array_free(rows, TRUE);
    return json_answer(b);
}

/* Answers GET /metrics. The gauges are updated first. */
static gv_answer_t
metrics_page(gv_kernel_t *k)
{
    GvCounter_Set(&in_progress, GvRequests_CountOpen(k->requests));
    GvCounter_Set(&exchanges, GvTargets_CountBusy(k->targets));
    GString *text = g_string_new(NULL);
    GvCounter_Render(text);
    gv_answer_t a = answer(200, "text/plain; version=0.0.4",
                           GvStr_N(text->str, text->len));
    g_string_free(text, TRUE);
    return a;
}

/* Answers DELETE /v1/requests/ID: cancels the request with that identifier in
   hexadecimal. */
static gv_answer_t
cancel_request(gv_kernel_t *k, gv_str_t id)
{
    char text[17];
    uint64_t n = 0;
    if (id.n > 0 && id.n < sizeof text) {
        memcpy(text, id.p, id.n);
        text[id.n] = '\0';
        char *end;
        n = g_ascii_strtoull(text, &end, 16);
        n = *end == '\0' ? n : 0;
    }
    gv_request_t *rq = n != 0 ? GvRequest_Find(k->requests, n) : NULL;
    if (rq == NULL) {
        return answer(404, "text/plain", GV_STR("no such request\n"));
    }
    bool done = GvForward_Cancel(k->forward, rq, "cancelled");
    GvRequest_Unref(rq);
    return done ? answer(200, "text/plain", GV_STR("cancelled\n"))
                : answer(404, "text/plain", GV_STR("no such request\n"));
}

/* Answers POST /v1/tickets with a new ticket. */
static gv_answer_t
issue_ticket(gv_kernel_t *k, gv_str_t method)
{
    char text[GV_TICKET_TEXT_BYTES + 1];
    if (!GvStr_Equal(method, GV_STR("POST"))) {
        return answer(405, "text/plain", GV_STR("only POST\n"));
    }
    if (GvKernel_IsStopping(k)) {
        return GvAnswer_Refuse(GV_OUTCOME_NOT_RUN, 503, GV_HEARTBEAT_MS,
                               "entry host is stopping");
    }
    int n = GvForward_IssueTicket(k->forward, text, GV_TICKET_TEXT_BYTES);
    if (n < 0) {
        return GvAnswer_Refuse(GV_OUTCOME_NOT_RUN, 503, GV_HEARTBEAT_MS,
                               "too many tickets");
    }
    text[n] = '\n';
    return answer(200, "text/plain", GvStr_N(text, (size_t)n + 1));
}

/* Answers a request for one of the paths in the header. Returns 0, or
   GV_ENOENT for another path or a method that the path does not have. */
int
GvAdmin_Handle(gv_kernel_t *k, gv_str_t method, gv_str_t path, gv_answer_t *a)
{
    gv_str_t prefix = GV_STR("/v1/requests/");
    if (path.n > prefix.n && memcmp(path.p, prefix.p, prefix.n) == 0) {
        *a = GvStr_Equal(method, GV_STR("DELETE"))
                 ? cancel_request(
                       k, GvStr_N(path.p + prefix.n, path.n - prefix.n))
                 : answer(405, "text/plain", GV_STR("only DELETE\n"));
        return GV_OK;
    }
    if (GvStr_Equal(path, GV_STR("/v1/tickets"))) {
        *a = issue_ticket(k, method);
        return GV_OK;
    }
    if (!GvStr_Equal(method, GV_STR("GET"))) {
        return GV_ENOENT;
    }
    if (GvStr_Equal(path, GV_STR("/metrics"))) {
        *a = metrics_page(k);
    }
    else if (GvStr_Equal(path, GV_STR("/healthz"))) {
        *a = GvKernel_IsStopping(k)
                 ? answer(503, "text/plain", GV_STR("stopping\n"))
                 : answer(200, "text/plain", GV_STR("ok\n"));
    }
    else if (GvStr_Equal(path, GV_STR("/v1/status"))) {
        *a = status_page(k);
    }
    else if (GvStr_Equal(path, GV_STR("/v1/burn"))) {
        *a = burn_page(k);
    }
    else {
        return GV_ENOENT;
    }
    return GV_OK;
}
