/** The deploy file, which says how the program of the platform is built and run, and its settings template. */
import {readFileSync} from 'node:fs';
import {join} from 'node:path';
import {parse} from 'smol-toml';
import * as z from 'zod';

const deployFileSchema = z.object({
  build: z.string(),
  roles: z.object({node: z.object({run: z.string(), template: z.string()})}),
});

/** How the program of one VM is built, started and configured. */
export interface DeployFile {
  /** Folder in which the program runs. */
  readonly root: string;
  readonly buildCommand: string;
  /** Program and arguments. */
  readonly command: readonly string[];
  readonly settingsTemplate: string;
}

/** Values for a settings template, by name; tables are nested. */
export interface TemplateFields {
  readonly [name: string]: string | number | TemplateFields | undefined;
}

/** Reads `deploy/system.toml` and the template that it names. */
export function readDeployFile(root: string): DeployFile {
  const text = readFileSync(join(root, 'deploy/system.toml'), 'utf8');
  const {build, roles} = deployFileSchema.parse(parse(text));
  return {
    root,
    buildCommand: build,
    command: roles.node.run.split(' '),
    settingsTemplate: readFileSync(join(root, roles.node.template), 'utf8'),
  };
}

/** Replaces the placeholders `{{a.b}}` of a template; one without a value becomes empty. */
export function renderTemplate(
  template: string,
  fields: TemplateFields,
): string {
  return template.replaceAll(/\{\{([\w.]+)\}\}/g, (_all, path: string) =>
    String(lookUp(fields, path) ?? ''),
  );
}

function lookUp(fields: TemplateFields, path: string): unknown {
  return path
    .split('.')
    .reduce<unknown>(
      (value, name) =>
        typeof value === 'object' && value !== null
          ? (value as TemplateFields)[name]
          : undefined,
      fields,
    );
}
