/** The process of a machine is killed when its callers have about half of their streams. */
import {runStreamCase} from '../stand-ins/streams.js';

/** Some 2.5 s. */
const EVENTS = 40;

await runStreamCase(import.meta.dirname, {events: EVENTS, signal: 'SIGKILL', unframed: [true, false, true, false]});
