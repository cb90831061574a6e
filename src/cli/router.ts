#!/usr/bin/env node
/** `jackdawwood-router`: receives signals from its first moment, then loads and runs the daemon. */
import process from 'node:process';
import {receiveSignals} from '../runtime/router/process-signals.js';

const signals = receiveSignals(process);
const {runRouterCommand} = await import('./router/command.js');
process.exit(await runRouterCommand(signals));
