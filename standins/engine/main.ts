#!/usr/bin/env node
import {runProcess} from '../shared/process.js';
import {startEngine} from './engine.js';
import {engineSettingsSchema} from './settings.js';

await runProcess('engine', engineSettingsSchema, startEngine);
