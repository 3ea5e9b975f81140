// The operators' page shows the table as sheets of editable cells, and the status.

const api = "/operator/v1";
const statusInterval = 2000; // milliseconds

// sheets defines the sheets of the table and the input type of each column.
const sheets = [
  { name: "organisations", title: "Organisations", columns: { name: "text", token_hash: "text", weight: "number", ceiling: "number", priority: "checkbox" } },
  { name: "services", title: "Services", columns: { name: "text", kind: "text", idempotent_paths: "list" } },
  { name: "failure_domains", title: "Failure domains", columns: { name: "text", out: "checkbox" } },
  { name: "upstreams", title: "Upstream marks", columns: { name: "text", out: "checkbox" } },
];

const element = (id) => document.getElementById(id);
let version = 0;

function showMessage(text, isError = false) {
  element("message").textContent = text;
  element("message").className = isError ? "error" : "";
}

// call calls the operators' API. It returns whether the call succeeded, and the parsed
// body.
async function call(method, path, body) {
  const response = await fetch(api + path, {
    method,
    headers: { Authorization: "Bearer " + sessionStorage.getItem("token"), "Content-Type": "application/json" },
    body: body === undefined ? undefined : JSON.stringify(body),
  });
  return { ok: response.ok, body: await response.json() };
}

function problemText(problem) {
  return problem.title + (problem.detail ? " (" + problem.detail + ")" : "") + ": " + problem.remedy;
}

// createCell returns a table cell with an input for one value of a row.
function createCell(column, type, value) {
  const td = document.createElement("td");
  const input = document.createElement("input");
  input.type = type === "list" ? "text" : type;
  input.dataset.type = type;
  input.dataset.column = column;
  input.setAttribute("aria-label", column);
  if (type === "checkbox") input.checked = Boolean(value);
  else input.value = type === "list" ? (value || []).join(" ") : value ?? "";
  input.addEventListener("input", () => td.classList.add("changed"));
  td.dataset.column = column;
  td.append(input);
  return td;
}

function addRow(sheet, tbody, row) {
  const tr = document.createElement("tr");
  for (const [column, type] of Object.entries(sheet.columns)) tr.append(createCell(column, type, row[column]));
  const remove = document.createElement("button");
  remove.type = "button";
  remove.textContent = "Remove";
  remove.addEventListener("click", () => tr.remove());
  const td = document.createElement("td");
  td.append(remove);
  tr.append(td);
  tbody.append(tr);
}

function showSheet(sheet, rows) {
  const section = document.createElement("section");
  const title = document.createElement("h2");
  title.textContent = sheet.title;
  const grid = document.createElement("table");
  const head = grid.createTHead().insertRow();
  for (const column of [...Object.keys(sheet.columns), ""]) {
    const th = document.createElement("th");
    th.textContent = column.replaceAll("_", " ");
    head.append(th);
  }
  const tbody = grid.createTBody();
  tbody.id = sheet.name;
  for (const row of rows || []) addRow(sheet, tbody, row);
  const add = document.createElement("button");
  add.type = "button";
  add.textContent = "Add a row";
  add.addEventListener("click", () => addRow(sheet, tbody, {}));
  section.append(title, grid, add);
  element("sheets").append(section);
}

function showTable(table) {
  version = table.version;
  element("version").textContent = version;
  element("sheets").replaceChildren();
  for (const sheet of sheets) showSheet(sheet, table[sheet.name]);
}

function readInput(input) {
  switch (input.dataset.type) {
    case "checkbox": return input.checked;
    case "number": return input.value === "" ? 0 : Number(input.value);
    case "list": return input.value.split(/\s+/).filter(Boolean);
    default: return input.value.trim();
  }
}

// readTable returns the table as edited on the page.
function readTable() {
  const table = { version };
  for (const sheet of sheets) {
    table[sheet.name] = [...element(sheet.name).rows].map((tr) => {
      const row = {};
      for (const input of tr.querySelectorAll("input")) row[input.dataset.column] = readInput(input);
      return row;
    });
  }
  return table;
}

function clearFaults() {
  for (const td of document.querySelectorAll("td.fault")) {
    td.classList.remove("fault");
    delete td.dataset.remedy;
  }
}

function showFaults(faults) {
  for (const fault of faults) {
    const tr = element(fault.sheet)?.rows[fault.row - 1];
    const td = tr?.querySelector('td[data-column="' + CSS.escape(fault.column) + '"]');
    if (!td) continue;
    td.classList.add("fault");
    td.dataset.remedy = fault.remedy;
  }
}

// showConflict marks the cells that differ from the newer table, and shows the newer
// values below them.
async function showConflict(problem) {
  const mine = readTable();
  const newer = (await call("GET", "/table")).body;
  const conflicts = [];
  for (const sheet of sheets) {
    const theirs = new Map((newer[sheet.name] || []).map((row) => [row.name, row]));
    mine[sheet.name].forEach((row, i) => {
      for (const column of Object.keys(sheet.columns)) {
        const value = theirs.get(row.name)?.[column];
        if (JSON.stringify(value ?? null) === JSON.stringify(row[column] ?? null)) continue;
        if (sheet.columns[column] === "list" && !value && row[column].length === 0) continue;
        const shown = theirs.has(row.name) ? JSON.stringify(value) : "no such row";
        conflicts.push({ sheet: sheet.name, row: i + 1, column, remedy: "now: " + shown });
      }
    });
  }
  showFaults(conflicts);
  showMessage(problemText(problem) + " The newer values are shown below the cells; press Read again to load them.", true);
}

async function save() {
  clearFaults();
  const { ok, body } = await call("PUT", "/table", readTable());
  if (ok) {
    showTable(body);
    showMessage("Accepted as version " + body.version + ".");
    return showStatus();
  }
  if (body.reason === "version_conflict") return showConflict(body);
  showFaults(body.faults || []);
  showMessage(problemText(body), true);
}

async function load() {
  const { ok, body } = await call("GET", "/table");
  if (!ok) {
    sessionStorage.removeItem("token");
    return showMessage(problemText(body), true);
  }
  element("main").hidden = false;
  element("token-form").hidden = true;
  showMessage("");
  showTable(body);
  await showStatus();
}

// showRows fills a table of the status. Rows for which needsAttention returns true are
// highlighted.
function showRows(grid, columns, rows, needsAttention) {
  grid.replaceChildren();
  const head = grid.createTHead().insertRow();
  for (const column of columns) {
    const th = document.createElement("th");
    th.textContent = column.replaceAll("_", " ");
    head.append(th);
  }
  const tbody = grid.createTBody();
  for (const row of rows) {
    const tr = tbody.insertRow();
    if (needsAttention(row)) tr.className = "attention";
    for (const column of columns) tr.insertCell().textContent = row[column];
  }
}

async function showStatus() {
  const { ok, body } = await call("GET", "/status");
  if (!ok) return showMessage(problemText(body), true);
  const store = body.platform.answers ? "the store answers" : "the store does not answer";
  const pending = body.provisional.map((p) => (p.failure_domain || p.upstream) + " out, not yet in the table");
  element("summary").textContent = [
    body.entry + " has version " + body.table_version, "the newest is " + body.newest_version, store, ...pending,
  ].join("; ");
  showRows(element("status-hosts"), ["host", "role", "failure_domain", "reachable", "version", "in_force", "age_millis"],
    body.hosts, (h) => !h.in_force);
  showRows(element("status-upstreams"), ["upstream", "service", "failure_domain", "running", "limit", "ready", "leaving", "out", "report_age_millis"],
    body.upstreams, (u) => !u.ready);
  showRows(element("status-upstream-states"), ["upstream", "incarnation", "service", "state", "since_seconds", "remaining_seconds", "source", "listed"],
    body.upstream_states, () => false);
}

// withErrorMessage returns an event handler that runs an action, and shows a message if it
// fails.
function withErrorMessage(action) {
  return async (event) => {
    event?.preventDefault();
    try {
      await action();
    } catch (error) {
      showMessage("The entry can't be reached (" + error.message + "): open the page at another entry.", true);
    }
  };
}

element("token-form").addEventListener("submit", withErrorMessage(async () => {
  sessionStorage.setItem("token", element("token").value);
  await load();
}));
element("save").addEventListener("click", withErrorMessage(save));
element("reload").addEventListener("click", withErrorMessage(load));
if (sessionStorage.getItem("token")) withErrorMessage(load)();
setInterval(() => { if (!element("main").hidden) withErrorMessage(showStatus)(); }, statusInterval);
