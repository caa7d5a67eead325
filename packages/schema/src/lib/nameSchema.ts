import { z } from 'zod';

/** Names of workspaces, classes, plans, models and services: short and safe in URLs and labels. */
export const nameSchema = z
  .string()
  .regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'expected lower-case letters, digits and hyphens');
