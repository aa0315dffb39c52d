// Package batch estimates how long requests take at a replica whose engine batches them.
//
// An engine works in passes. A pass decodes a number of steps for all requests in the batch,
// and prefills one chunk of the prompts that wait. So a request's first event comes after
// as many passes as its prompt and those before it have chunks, and each chunk makes the
// pauses of the others longer. Requests per second alone say little: a replica with free
// slots is late as soon as prompts come faster than their chunks fit into passes.
//
// The engine's speed comes from the operators' configuration, in the units of package
// site. Estimates are times; they are 0 if the configuration does not state the speed.
package batch
