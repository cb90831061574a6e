#!/usr/bin/env node
import {runProcess} from '../shared/process.js';
import {startPlatform} from './platform.js';
import {platformSettingsSchema} from './settings.js';

await runProcess('platform', platformSettingsSchema, startPlatform);
