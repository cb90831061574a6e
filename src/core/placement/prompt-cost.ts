/** Cost of prompts, by which the usage of teams is counted. */
import {type Prompt} from '../dispatch/types.js';

/** Weight of an expected output token; a prompt token counts 1. */
const OUTPUT_TOKEN_COST = 2;

export const promptCost = ({tokens, outputTokens}: Prompt): number => tokens + (OUTPUT_TOKEN_COST * outputTokens);
