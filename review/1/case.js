/** A machine gets the stop signal while streams run that last beyond its grace period and well within their time limit. */
import {runStreamCase} from '../stand-ins/streams.js';

/** Some 9.5 s. */
const EVENTS = 156;

await runStreamCase(import.meta.dirname, {events: EVENTS, signal: 'SIGTERM', unframed: [true, true, true, true]});
