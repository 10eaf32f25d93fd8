// Package scenario runs scripted scenarios against real processes of this project on
// loopback: a stand-in platform, stand-in upstreams and entry nodes.
//
// A scenario is a file in testdata/script in the language of
// github.com/rogpeppe/go-internal/testscript. It has these commands besides the standard ones
// ("!" before a command expects it to fail):
//
//	relays                            route links through relays that can be cut; must be the first line
//	platform [FLAG...]                start the stand-in platform
//	engine ID [FLAG...]               start a stand-in model engine
//	service ID NAME [FLAG...]         start a stand-in plain service
//	entry ID [FLAG...]                start an entry node
//	sigkill ID, sigterm ID            send SIGKILL or SIGTERM to a process
//	freeze ID, thaw ID                send SIGSTOP or SIGCONT
//	cut A B, heal A B                 block all bytes between two processes, or let them pass again
//	slow A B DURATION                 delay each read of data between two processes
//	fault ID JSON                     set faults at the fault port of the platform or an upstream
//	limits JSON                       change the platform's limits of reads and writes per second
//	quality VERSION QUALITY           set the true quality of a version, which ratings reflect
//	leave ID, unlist ID               mark a VM as leaving in the platform's list, or remove it
//	admin [-at ENTRY] ARG...          run hickorybank admin: bootstrap at the platform, the rest at an entry
//	call [OPTION...] ENTRY ORG KEY MODEL TEXT
//	                                  send a chat request
//	callservice [OPTION...] ENTRY ORG KEY METHOD PATH [BODY]
//	                                  call the service "billing"
//	readon [OPTION...] ENTRY CALL     resume an interrupted stream through another entry
//	load start NAME [OPTION...]       send load through all entries in the background
//	load stop NAME [OPTION...]        stop the load and check each of its requests
//	mark NAME                         record the runs, declined requests and load so far
//	join NAME                         wait for a background call
//	await CONDITION ARG...            wait for a condition, at most 30 s (for "ended": 2 min)
//	expect CHECK ARG...               check the effects of the calls
//
// Options of a call: -stream, -as NAME (default "last"), -bg (in the background), -session
// NAME, -class CLASS, -timeout MS. The key "-" sends no idempotency key.
//
// Options of load start: -rate N (per second), -org, -model, -chat (no service calls), -hold
// (callers never refresh their addresses), -once (send each request once), -insist (retry
// requests refused as not run with a Retry-After). Options of load stop: -uncut (no request may
// be cut off), -completed N and -notrun N (minimum numbers). A load always fails if a
// non-idempotent call ran twice, an answer that ended as complete was partial or belonged to
// another request, a completed request has no bill, a request has two bills, or a request
// refused as "not run" ran.
//
// SCENARIO_BINARY names another build of the product to start.
//
// Every answer is checked when it arrives: its digest must match the text sent, and no piece may
// be missing or duplicated.
package scenario
