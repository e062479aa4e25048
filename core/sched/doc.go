// Package sched is the scheduler of a dispatcher: a pure state machine that places attempts on the
// engines that the dispatcher owns. It accounts for engine memory, orders the queues, predicts the time
// to first token, sheds attempts that cannot meet their deadline and resumes attempts whose engine
// crashed or hung.
//
// Step takes the monotonic time of the process and one event, and returns the actions that the
// dispatcher carries out in order. All times are offsets on the clock of the now argument. A time
// before the latest one seen counts as the latest one.
//
// The events that answer each action:
//
//	Send           POST /v1/sessions. EngineAccepted when the status line 200 was read, then
//	               FirstToken with the first token, TokenProgress with later ones, and exactly one of
//	               EngineEnded (the end line was read) or EngineFailed (anything else). Progress may be
//	               batched, but at least once a second while tokens arrive: without any for
//	               Config.TokenTimeout the engine counts as hung. After a CancelSession for the same
//	               session the closing event is optional and ignored.
//	CancelSession  close the stream of the session, if one is open, and DELETE /v1/sessions/{id}.
//	               CancelAcked for 200 and 404, CancelFailed for anything else. The scheduler repeats
//	               the action until an acknowledgement or a newer report shows that the session is gone.
//	ReleaseKV      DELETE /v1/kv/{handle}. KVReleased for 200 and 404, KVReleaseFailed otherwise;
//	               repeated like CancelSession.
//	Queued         Accepted frame with the queue position. No event answers it.
//	Refuse         End frame with outcome "not run". Last action for its attempt. No event answers it.
//	End            End frame. Last action for its attempt. No event answers it.
//	Wake           call Step with Tick at the given time, or earlier. The latest Wake replaces the
//	               ones before it.
//
// The dispatcher compares Send.Deadline with its clock right before the first byte. If the deadline
// has passed, it writes nothing and answers with EngineFailed and NotSent.
//
// Every Submit is answered by exactly one Refuse or End, never later than the first Step at or after
// the deadline. Refuse is returned only if no byte of the attempt was written to an engine: there was
// no Send, or each one was answered by EngineFailed with NotSent.
package sched
